#pragma once

#include "entry_settings.h"
#include "fleet_registry.h"
#include "object_mirror.h"
#include "quota_board.h"
#include "routing_snapshot.h"
#include "version_counts_text.h"

#include <functional>
#include <memory>

namespace daisystile {

/// Follows the store on the control thread and publishes changes of the routes, backend servers, evacuations and daemons.
class store_follower
{
public:
    store_follower(reactor &loop, const entry_settings &settings, std::function<void(std::shared_ptr<const routing_snapshot>)> publish);
    ~store_follower();
    store_follower(const store_follower &) = delete;
    store_follower &operator=(const store_follower &) = delete;

    /// Called when the published configuration is known to have been the newest one when the store was asked at this time.
    void onConfigurationNewest(std::function<void(monotonic_time)> callback);
    /// Called with this daemon's claims on accounts' quotas, to be applied on the traffic thread.
    void onQuotaClaims(quota_board::claims_consumer consumer);
    void wantQuotas(quota_parts parts);
    /// Whether daemons ask this one first for tokens of quotas.
    void keepQuotas(bool keeper);
    /// Called again and again with the time at which the rules for versions were known to be current.
    void onVersionsHeard(std::function<void(monotonic_time)> callback);
    /// What this daemon has counted of versions.
    void countVersions(const daemon_counts &counts);
    void start();
    /// Replaces what this daemon tells the others about suspected requests.
    void shareSuspects(std::vector<suspect_record> records);
    /// Whether other daemons can delegate queries to this one.
    void offerQueries(bool offered);
    /// Closes the address for other daemons and removes this daemon's entry from the store, if the store is reachable.
    void leave();
    bool ready() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
