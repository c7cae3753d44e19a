#pragma once

#include "replica_stats.h"
#include "request_digest.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace daisystile {

/// Number of servers that may end one after the other under a request, none of them surviving it, before it is quarantined.
inline constexpr std::uint64_t crashesUntilQuarantine = 3;
/// Time of the first quarantine; doubled for each server that ends under the request afterwards.
inline constexpr seconds firstQuarantine {300};
inline constexpr seconds longestQuarantine {3600};
/// Time after which a request that is not quarantined is no longer suspected, unless another server ends under it.
inline constexpr seconds suspicionDuration {600};

/// How long a trial may keep others waiting; its server may be silent.
inline constexpr milliseconds maxTrial {1000};

/// Number of servers of which a record says by name that they ended under the request.
inline constexpr std::size_t maxNamedServers = 8;

/// What daemons tell each other about a request under which backend servers ended. Merging takes the larger of each number and
/// joins the names, so the order and the repetition of what is told make no difference.
struct suspect_record
{
    request_digest request;
    /// Counts the servers that ended under the request, one after the other, as far as one daemon knows of them; those that ended at
    /// the same time count once.
    std::uint64_t crashes = 0;
    /// The count up to which the request is cleared, because a server survived it later.
    std::uint64_t cleared = 0;
    /// The services whose servers ended; all services of the request if it is empty.
    std::set<service_name> services;
    /// Servers that were counted, each with the count that it brought about. Two daemons that count at the same time reach the same
    /// count, but name different servers. Of many the highest counts are kept.
    std::map<backend_server_id, std::uint64_t> servers = {};

    bool operator==(const suspect_record &) const = default;
};

/// Number of servers that ended under the request since a server last survived it: one after the other, or at several daemons.
std::uint64_t strikes(const suspect_record &record);

/// Whether an attempt to run a request may start.
enum class run_permission {
    run,
    /// May run and decides about the request: no other attempt may start until it has ended.
    trial,
    /// Another attempt is the trial.
    wait,
    quarantined,
};

/// Who has shared a record.
enum class record_origin {
    this_daemon,
    other_daemon,
};

/// Decides which requests are suspected of ending the backend servers that run them, from what this daemon has seen and what
/// others have told. A server ends for many reasons, so one that ends under a request only makes the request suspect: from then
/// on it is tried on one server at a time, and the first server that survives it clears it. Does no I/O.
class crash_suspects
{
public:
    run_permission permission(const request_digest &request, const service_name &service, monotonic_time now) const;
    /// Remaining time of the quarantine; nothing if the request isn't quarantined at the service.
    std::optional<milliseconds> quarantineLeft(const request_digest &request, const service_name &service, monotonic_time now) const;
    /// Whether the request must be tried before it may run freely at the service.
    bool suspected(const request_digest &request, const service_name &service) const;
    bool empty() const;
    /// What is known of the request, if anything.
    std::optional<suspect_record> find(const request_digest &request) const;

    void trialStarted(const request_digest &request, attempt_id attempt, monotonic_time now);
    /// The attempt ended; true if it was the trial, so that attempts that wait may be tried again.
    bool trialEnded(const request_digest &request, attempt_id attempt);

    /// A server ended under an attempt that was sent at the given time. Returns the new state.
    suspect_record
    crashed(const request_digest &request, const service_name &service, monotonic_time sent, monotonic_time now, const backend_server_id &server = {});
    /// A server of the service has survived the request. Returns true if that clears it.
    bool survived(const request_digest &request, const service_name &service);
    /// A record that a daemon has shared, possibly this one, now or before it was restarted. Returns true if it has told anything
    /// new.
    bool learn(const suspect_record &record, record_origin origin, monotonic_time now);
    /// An operator clears the request. Nothing if it isn't known.
    std::optional<suspect_record> lift(const request_digest &request);

    /// Forgets what is no longer suspected.
    void expire(monotonic_time now);
    /// What this daemon has to tell the others, in the order of requests. Few of the requests under which only one server has
    /// ended are among them, the latest, because any loss of servers brings about many.
    std::vector<suspect_record> toShare() const;
    /// Requests in quarantine, with its remaining time.
    std::vector<std::pair<suspect_record, milliseconds>> quarantined(monotonic_time now) const;

private:
    struct suspect
    {
        suspect_record record;
        /// When this daemon learned of the latest crash.
        monotonic_time crashedAt;
        attempt_id trial = 0;
        monotonic_time trialStarted;
        /// It has been shared, so other daemons know of it.
        bool shared = false;
        /// This daemon has contributed to it, so it shares the record.
        bool own = false;
    };

    static bool concerns(const suspect_record &record, const service_name &service);
    static monotonic_time quarantineEnds(const suspect &entry);
    static monotonic_time forgetAt(const suspect &entry);
    const suspect *find(const request_digest &request, const service_name &service) const;
    suspect &makeRoom(const request_digest &request, monotonic_time now);

    std::map<request_digest, suspect> m_suspects;
};

} // namespace daisystile
