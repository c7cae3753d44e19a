#pragma once

#include "entry_settings.h"
#include "mirror_runner.h"
#include "version_counts_text.h"

#include <Route/route.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisystile {

/// The text of the object that holds the base versions of services.
std::string baseVersionsText(const std::map<service_name, software_version> &bases);
/// Nothing if the text is no such object.
std::optional<std::map<service_name, software_version>> parseBaseVersions(const std::string &text);

/// Knows the orders and the base versions of services. While it follows the store it also decides about the orders, from what all
/// daemons have counted. Used on the control thread only.
class version_board
{
public:
    version_board(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> changed);

    /// Whether versions are told apart. If not, nothing here acts.
    bool active() const;
    mirror_runner &orders();
    mirror_runner &bases();
    const mirror_runner &orders() const;
    const mirror_runner &bases() const;

    /// The rules in force; null if versions aren't told apart.
    std::shared_ptr<const version_rules> rules() const;
    void setServers(std::shared_ptr<const server_catalog> servers);
    void setFleet(const std::vector<fleet_daemon> &daemons);
    /// Counts of this daemon or of one that follows it.
    void takeCounts(daemon_counts counts);
    /// This daemon's own, for its source; empty while no order runs.
    std::string ownCounts() const;

private:
    struct seen_order
    {
        rollout_order order;
        std::string key;
        std::string etag;
        /// As in the store, and as it holds here: a verdict stays.
        std::optional<rollout_status> written;
        std::optional<rollout_status> status;
        monotonic_time since;
        /// Added to the time since then, by what other daemons know.
        milliseconds before {0};
        std::shared_ptr<rollout_judge> judge;
    };

    struct heard_daemon
    {
        daemon_counts counts;
        monotonic_time at;
    };

    void ordersChanged();
    void basesChanged();
    void update();
    seen_order readOrder(const std::string &key, const platform_object &object, rollout_order order) const;
    static bool isSameOrder(const seen_order &known, const seen_order &now);
    std::map<service_name, rollout_status> statuses() const;
    void scheduleBases();
    void writeBases();
    void tick();
    bool running() const;
    void exchangeCounts();
    void reportsRead(const list_result &result);
    void removeReports();
    void decide(seen_order &seen);
    rollout_inputs inputsOf(const seen_order &seen) const;
    milliseconds elapsed(const seen_order &seen) const;
    bool targetServes(const seen_order &seen) const;
    void write(const seen_order &seen, const rollout_change &change, const rollout_inputs &inputs);

    reactor &m_loop;
    platform_client &m_store;
    daemon_id m_self;
    std::string m_reportKey;
    double m_exposureShare;
    std::function<void()> m_changed;
    mirror_runner m_orders;
    mirror_runner m_bases;
    std::map<service_name, seen_order> m_seen;
    std::map<service_name, software_version> m_recorded;
    std::string m_recordedVersion;
    std::shared_ptr<const server_catalog> m_servers = std::make_shared<server_catalog>();
    std::shared_ptr<const version_rules> m_rules;
    std::set<daemon_id> m_daemons;
    // Counts of each run of each daemon, also of runs that have ended.
    std::map<std::pair<daemon_id, std::uint64_t>, heard_daemon> m_heard;
    daemon_counts m_own;
    std::vector<std::string> m_reports;
    bool m_basesScheduled = false;
};

} // namespace daisystile
