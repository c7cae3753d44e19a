#pragma once

#include "forward_decision.h"
#include "replica_stats.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daisystile {

/// What a service's backend servers can do, and for how many daemons.
struct service_capacity
{
    /// Requests that the servers in use run at a time.
    unsigned slots = 0;
    unsigned daemons = 1;
};

/// A part of a request that waits until its service has room.
struct waiting_part
{
    std::uint64_t request = 0;
    part_index part = 0;
    /// When it began to wait; it keeps its place when it is taken in vain.
    monotonic_time since;
};

/// A request that asks to be served.
struct admission_request
{
    std::vector<service_name> services;
    /// Least services that make an answer.
    std::size_t minServices = 1;
    urgency_rank urgency;
    /// Longest wait after which the answer still comes in time.
    milliseconds maxWait {0};
    /// 0 to 1; spreads refusals while services become crowded.
    double draw = 0;
};

struct admission_forecast
{
    /// How long the request would wait for room at enough of its services; 0 when there is room now.
    milliseconds wait {0};
    /// False when it is to be refused at once.
    bool inTime = true;
};

/// Limits the attempts that this daemon has at a service to its share of the servers, keeps the parts that wait for room
/// in order of urgency, and foresees how long they wait. Sends nothing itself.
class work_queue
{
public:
    void setCapacity(const service_name &service, const service_capacity &capacity);

    /// Asked before anything of the request is sent, so that what can't be served in time is refused at once.
    admission_forecast forecast(const admission_request &terms, monotonic_time now) const;

    /// Whether an attempt may start now; a hedge only where no part waits.
    bool hasRoom(const service_name &service, attempt_purpose purpose, monotonic_time now) const;
    /// The attempt takes room until it ends, or until most of the objective has passed.
    void started(const service_name &service, attempt_id attempt, monotonic_time now, milliseconds objective);
    void ended(const service_name &service, attempt_id attempt, monotonic_time now);

    void wait(const service_name &service, urgency_rank urgency, const waiting_part &part);
    /// Takes the part whose turn it is; none while the service has no room.
    std::optional<waiting_part> next(const service_name &service, monotonic_time now);
    void removeRequest(std::uint64_t request);
    /// Services for which parts wait.
    std::vector<service_name> servicesWithWaiting() const;
    std::size_t waiting() const;

private:
    struct running_attempt
    {
        attempt_id id;
        monotonic_time countsUntil;
    };

    struct service_state
    {
        /// This daemon's part of the slots, and the most attempts that it may have.
        double share = 0;
        unsigned limit = 0;
        std::vector<running_attempt> running;
        // Average number of running attempts, as of the time beside it.
        double average = 0;
        monotonic_time averagedAt;
        // Ended attempts of the current and the last interval.
        unsigned endedInInterval = 0;
        unsigned endedInPreviousInterval = 0;
        monotonic_time intervalStart;
        std::map<urgency_rank, std::deque<waiting_part>> waiting;
        unsigned startsInRound = 0;
    };

    static unsigned running(const service_state &work, monotonic_time now);
    static double averageAt(const service_state &work, monotonic_time now);
    static void updateAverage(service_state &work, monotonic_time now);
    static bool overloaded(const service_state &work, const admission_request &terms, monotonic_time now);
    static milliseconds expectedWait(const service_state &work, urgency_rank urgency, monotonic_time now);
    static double completionsPerSecond(const service_state &work, monotonic_time now);

    std::map<service_name, service_state> m_services;
};

} // namespace daisystile
