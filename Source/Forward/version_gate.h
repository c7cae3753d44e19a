#pragma once

#include "entry_settings.h"
#include "routing_snapshot.h"
#include "running_request.h"
#include "version_counts_text.h"

#include <random>
#include <set>
#include <unordered_map>

namespace daisystile {

/// The versions among whose servers an attempt may choose: the first one, or else the second.
struct admitted_versions
{
    /// Null for servers of any version.
    const software_version *first = nullptr;
    const software_version *otherwise = nullptr;
};

/// Divides attempts between the versions of a service and counts their answers while an order runs. Used on the traffic thread only.
class version_gate
{
public:
    version_gate(const entry_settings &settings, metrics &registry);

    void update(std::shared_ptr<const version_rules> rules);
    void setExposureShare(double share);
    /// The rules were known to be current at this time.
    void setHeardAt(monotonic_time heardAt);

    /// Draws for the part at its first attempt.
    admitted_versions admitted(request_part &part, monotonic_time now);
    /// The main version of a service; null if versions aren't told apart.
    const software_version *mainVersion(const service_name &service) const;
    /// Called with the server to which the attempt was sent.
    void sent(running_attempt &attempt, const server_entry &server);
    void ended(const running_attempt &attempt, const exchange_result &exchange, monotonic_time now);

    /// Whether an order runs.
    bool counting() const;
    /// All that was counted for running orders. Stops a target that is bad by them if this daemon hears of nothing.
    daemon_counts report(const std::unordered_map<attempt_id, running_attempt> &attempts, monotonic_time now);

private:
    const version_rule *ruleOf(const service_name &service) const;
    bool fresh(monotonic_time now) const;
    double targetShare(const version_rule &rule, monotonic_time now) const;
    void showShare(const service_name &service, double share);
    void count(const running_attempt &attempt, bool failure, microseconds latency);

    metrics &m_registry;
    std::shared_ptr<const version_rules> m_rules;
    double m_exposureShare;
    std::optional<monotonic_time> m_heardAt;
    daemon_counts m_counts;
    // Orders whose target is bad by this daemon's own counts, as found while it heard of nothing.
    std::set<std::string> m_stopped;
    std::minstd_rand m_random;
};

} // namespace daisystile
