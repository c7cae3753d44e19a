#pragma once

#include <Route/route.h>

#include <map>

namespace daisystile {

/// Counts the requests of client accounts by what became of them. The accounts whose requests come first have figures of their own;
/// all others share those of the account "other", so that the number of figures is bounded.
class account_figures
{
public:
    explicit account_figures(metrics &registry);

    /// A request got a token of its account's quota, or its account has none.
    void admitted(const account_name &account);
    /// The quota was used up.
    void exceeded(const account_name &account);
    /// No keeper of quotas could tell.
    void unknown(const account_name &account);
    /// How long ago the configuration is known to have been the newest.
    void setConfigurationAge(milliseconds age);

private:
    struct figures
    {
        metric_counter admitted;
        metric_counter exceeded;
        metric_counter unknown;
    };

    figures &of(const account_name &account);
    figures make(const std::string &account);

    metrics &m_registry;
    metric_gauge m_configurationAge;
    figures m_others;
    std::map<account_name, figures> m_figures;
};

} // namespace daisystile
