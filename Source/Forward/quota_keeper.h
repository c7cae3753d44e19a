#pragma once

#include "delegation_messages.h"

#include <Route/route.h>

#include <functional>
#include <map>
#include <memory>

namespace daisystile {

/// Parts of accounts' quotas that this daemon may hand out.
struct claimed_quotas
{
    quota_parts parts;
    /// The lease ends at this time; this daemon then has no place among the keepers.
    monotonic_time until;
};

/// Hands out tokens of the accounts' quotas to daemons that ask for them, as far as this daemon has claims on the quotas. Used on
/// the traffic thread only.
class quota_keeper
{
public:
    explicit quota_keeper(reactor &loop);

    void update(const std::shared_ptr<const route_table> &routes);
    void setClaims(claimed_quotas claims);
    /// Called with the parts that this daemon has use for, whenever they change and from time to time.
    void onWanted(std::function<void(quota_parts)> callback);

    tokens_answer answer(const daemon_id &from, const tokens_question &question);
    /// A daemon has connected, and holds no tokens.
    void connected(const daemon_id &daemon);

private:
    quota_bucket *bucketOf(const account_name &account, monotonic_time now);
    void applyParts(monotonic_time now);
    std::optional<double> partNow(const account_name &account) const;
    quota_parts wanted(monotonic_time now) const;
    void tick();

    reactor &m_loop;
    std::shared_ptr<const route_table> m_routes;
    claimed_quotas m_claims;
    std::map<account_name, quota_bucket> m_buckets;
    std::function<void(quota_parts)> m_wanted = [](const auto &) {
    };
    bool m_ticking = false;
    bool m_placed = false;
};

} // namespace daisystile
