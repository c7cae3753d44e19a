#pragma once

#include "account_shares.h"
#include "forward_decision.h"
#include "replica_stats.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daisystile {

/// Capacity of a service's backend servers and the number of daemons that share it.
struct service_capacity
{
    /// Requests that the servers in use run at a time.
    unsigned slots = 0;
    unsigned daemons = 1;
};

/// A part of a request that is queued until its service has capacity.
struct waiting_part
{
    std::uint64_t request = 0;
    part_index part = 0;
    /// Time of the first enqueue. A part that is dequeued but can't start keeps its position when it is enqueued again.
    monotonic_time since;
};

/// Input of the admission decision for one request.
struct admission_request
{
    std::vector<service_name> services;
    /// Minimum number of services in an answer.
    std::size_t minServices = 1;
    urgency_rank urgency;
    /// Longest queueing time after which the answer can still be in time.
    milliseconds maxWait {0};
    /// Random number from 0 to 1; makes refusals gradual while services become overloaded.
    double draw = 0;
    account_demand demand {};
};

struct admission_forecast
{
    /// Forecast time until enough of its services have capacity; 0 if they have capacity now.
    milliseconds wait {0};
    /// False if the request must be refused at once.
    bool inTime = true;
};

/// Limits this daemon's attempts at a service to its share of the servers' slots, queues the parts that exceed it by
/// priority, and forecasts queueing times. Does no I/O.
class work_queue
{
public:
    void setCapacity(const service_name &service, const service_capacity &capacity);

    /// Counts what an account asks for, when its request arrives.
    void addDemand(const admission_request &terms, monotonic_time now);
    /// Admission decision, made before any part is sent, so that a request that can't be answered in time is refused at once.
    admission_forecast forecastAdmission(const admission_request &terms, monotonic_time now) const;

    /// Whether an attempt may start now. A hedge may start only if no part is queued.
    bool hasRoom(const service_name &service, attempt_purpose purpose, monotonic_time now) const;
    /// The attempt counts against the limit until it ends, or until most of the objective has passed.
    void started(const service_name &service, attempt_id attempt, monotonic_time now, milliseconds objective);
    void ended(const service_name &service, attempt_id attempt, monotonic_time now);

    void wait(const service_name &service, urgency_rank urgency, const waiting_part &part);
    /// Dequeues the next part; none while the service has no capacity.
    std::optional<waiting_part> next(const service_name &service, monotonic_time now);
    void removeRequest(std::uint64_t request);
    /// Services that have queued parts.
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
        /// This daemon's share of the slots, and its limit on running attempts.
        double share = 0;
        unsigned limit = 0;
        std::vector<running_attempt> running;
        // Moving average of the number of running attempts, as of averagedAt.
        double average = 0;
        monotonic_time averagedAt;
        // Attempts that ended in the current and in the previous interval.
        unsigned endedInInterval = 0;
        unsigned endedInPreviousInterval = 0;
        monotonic_time intervalStart;
        std::map<urgency_rank, std::deque<waiting_part>> waiting;
        unsigned startsInRound = 0;
        // What accounts ask for, by urgency.
        std::map<urgency_rank, account_shares> shares;
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
