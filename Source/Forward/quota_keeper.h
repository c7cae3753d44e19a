#pragma once

#include "delegation_messages.h"
#include "entry_settings.h"

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
    quota_keeper(reactor &loop, const fleet_bounds &bounds);

    void setBounds(const fleet_bounds &bounds);

    void update(const std::shared_ptr<const route_table> &routes);
    /// Returns the parts that daemons hold tokens of, also where this daemon's claims are less.
    quota_parts setClaims(claimed_quotas claims);
    /// Called with the parts that this daemon has use for whenever they change.
    void onWanted(std::function<void(quota_parts)> callback);

    tokens_answer answer(const daemon_id &from, const tokens_question &question);
    /// A daemon holds no tokens: it has connected, or has dropped them.
    void holdsNothing(const daemon_id &daemon);
    /// From now on no tokens are handed out, and daemons are told to drop those that they hold, so that others can claim the quotas.
    void leave();

private:
    quota_bucket *bucketOf(const account_name &account, monotonic_time now);
    quota_lease leaseOf(const account_name &account) const;
    void applyClaims(monotonic_time now);
    quota_parts wanted(monotonic_time now) const;
    void stateWanted(monotonic_time now);
    void tick();

    reactor &m_loop;
    std::shared_ptr<const route_table> m_routes;
    claimed_quotas m_claims;
    std::map<account_name, quota_bucket> m_buckets;
    std::function<void(quota_parts)> m_wanted = [](const auto &) {
    };
    // What was stated last.
    quota_parts m_stated;
    fleet_bounds m_bounds;
    // When this daemon's part of the slack grew last.
    monotonic_time m_slackSince;
    bool m_ticking = false;
    bool m_leaving = false;
};

} // namespace daisystile
