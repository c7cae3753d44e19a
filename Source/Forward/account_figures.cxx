#include "account_figures.h"

namespace daisystile {

namespace {

constexpr std::size_t maxAccounts = 64;

} // namespace

account_figures::account_figures(metrics &registry)
    : m_registry(registry),
      m_configurationAge(registry.gauge("daisystile_configuration_age_seconds", "Time since the configuration is known to have been the newest")),
      m_others(make("other"))
{
}

void account_figures::admitted(const account_name &account)
{
    of(account).admitted.add();
}

void account_figures::exceeded(const account_name &account)
{
    of(account).exceeded.add();
}

void account_figures::unknown(const account_name &account)
{
    of(account).unknown.add();
}

void account_figures::setConfigurationAge(milliseconds age)
{
    m_configurationAge.set(std::chrono::duration<double>(age).count());
}

account_figures::figures &account_figures::of(const account_name &account)
{
    const auto found = m_figures.find(account);
    if (found != m_figures.end()) {
        return found->second;
    }
    return m_figures.size() < maxAccounts ? m_figures.emplace(account, make(account.value)).first->second : m_others;
}

account_figures::figures account_figures::make(const std::string &account)
{
    const auto counter = [&](const char *outcome) {
        return m_registry.counter("daisystile_account_requests_total", "Requests of client accounts by outcome", {{"account", account}, {"outcome", outcome}});
    };
    return {counter("admitted"), counter("over_quota"), counter("quota_unknown")};
}

} // namespace daisystile
