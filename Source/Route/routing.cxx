#include "routing.h"

#include <algorithm>
#include <cctype>

namespace daisystile {

route_table::route_table(routing_configuration configuration)
    : m_configuration(std::move(configuration)),
      m_keys(m_configuration.accounts)
{
    for (const auto &each : m_configuration.accounts) {
        m_accounts.emplace(each.name, &each);
    }
    for (const auto &entry : m_configuration.routes) {
        m_byHost[normalizedHost(entry.host)].push_back(&entry);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
}

const route *route_table::match(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(normalizedHost(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto &routes = found->second;
    const auto first = std::find_if(routes.begin(), routes.end(), [&](const auto *entry) { return path.starts_with(entry->pathPrefix); });
    return first == routes.end() ? nullptr : *first;
}

const routing_configuration &route_table::configuration() const
{
    return m_configuration;
}

const service_configuration *route_table::terms(const service_name &service) const
{
    const auto found = m_configuration.services.find(service);
    return found == m_configuration.services.end() ? nullptr : &found->second;
}

const key_directory &route_table::keys() const
{
    return m_keys;
}

const client_account *route_table::account(const account_name &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : found->second;
}

std::string normalizedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::size_t weighted_round_robin::next(const std::vector<weighted_service> &services)
{
    m_credit.resize(services.size(), 0);
    double total = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        m_credit[i] += services[i].weight;
        total += services[i].weight;
    }
    const auto most = std::max_element(m_credit.begin(), m_credit.end());
    if (total <= 0 || most == m_credit.end()) {
        return 0;
    }
    *most -= total;
    return static_cast<std::size_t>(most - m_credit.begin());
}

} // namespace daisystile
