#pragma once

#include "slot_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace daisystile {

struct gate_settings
{
    /// Requests that the warm server runs concurrently.
    std::uint32_t slots = 1;
    std::size_t queueLimit = 16;
    /// Consecutive good answers per allowed request before the concurrency limit rises by one. Doubled by each refusal of
    /// the server, up to the limit below.
    std::uint32_t answersPerIncrease = 4;
    std::uint32_t answersPerIncreaseLimit = 256;
    /// A server whose answers are slower than its warm latency by this factor is considered cold.
    double slowFactor = 1.8;
    /// Time for which a server that was lost, or whose warm latency is unknown, gets one request at a time. Doubled each
    /// time that the server fails after its limit was raised.
    milliseconds coldHold {10000};
    milliseconds coldHoldLimit {300000};
    /// After this time without a failure, the latency of a slow server is accepted as its warm latency.
    milliseconds slowHold {60000};
    /// After this time without an answer, the next request is sent alone as a probe.
    milliseconds idleProbeAfter {250};
    /// A server is stalled when it has not answered for longer than this and for longer than its warm latency times
    /// stallLatencyFactor.
    milliseconds stallTimeout {100};
    double stallLatencyFactor = 8;
    milliseconds initialBackoff {50};
    milliseconds maxBackoff {2000};
    /// A server that answers on other connections may close one that was idle for longer than this; that is no sign of a
    /// restart.
    milliseconds idleConnectionLimit {2000};
    /// A server that reported that it is draining and never became unreachable is tried again after this time.
    milliseconds drainHold {60000};
};

enum class request_end {
    good,
    /// Refused by the server because of overload.
    shed,
    draining,
    /// The connection broke or could not be made.
    lost,
    timed_out,
    cancelled,
    /// Refused for a reason that is unrelated to the server's load, or never sent.
    neutral,
};

struct request_arrived
{
    waiting_request request;
};

struct request_withdrawn
{
    std::uint64_t id = 0;
};

struct request_ended
{
    std::uint64_t id = 0;
    request_end end = request_end::neutral;
};

/// This daemon became the server's owner; allowed is the limit that the previous owner handed over, or 0.
struct gate_opened
{
    std::uint16_t allowed = 0;
};

/// This daemon is no longer the server's owner.
struct gate_closed
{
};

enum class health_state {
    healthy,
    draining,
    unreachable,
};

/// Result of a health check, which may be out of date or wrong.
struct health_seen
{
    health_state state = health_state::healthy;
};

/// The latency of warm servers of the same service.
struct reference_seen
{
    microseconds latency;
};

/// The server closed a kept-alive connection between requests, after it was unused for this time.
struct kept_connection_ended
{
    milliseconds unused {0};
};

struct gate_tick
{
};

using gate_event =
    std::variant<request_arrived, request_withdrawn, request_ended, gate_opened, gate_closed, health_seen, reference_seen, kept_connection_ended, gate_tick>;

struct run_request
{
    std::uint64_t id = 0;
};

/// The request did not run and will not.
struct refuse_request
{
    std::uint64_t id = 0;
    attempt_failure failure = attempt_failure::none;
};

using gate_action = std::variant<run_request, refuse_request>;

/// Admission control of one backend server: decides which requests are sent and limits their concurrency. Deterministic:
/// the time is passed with each event.
class slot_gate
{
public:
    explicit slot_gate(gate_settings settings);

    std::vector<gate_action> decide(const gate_event &event, monotonic_time now);

    /// Requests that may run concurrently now; 0 during a backoff and while the server drains.
    std::size_t allowed(monotonic_time now) const;
    std::size_t running() const;
    std::size_t queued() const;
    bool draining() const;
    /// Concurrency limit to hand over to a new owner.
    std::uint16_t handover() const;
    /// Usual latency when warm; zero while unknown.
    microseconds warmLatency() const;
    server_load load(monotonic_time now) const;

private:
    void on(const request_arrived &event);
    void on(const request_withdrawn &event);
    void on(const request_ended &event);
    void on(const gate_opened &event);
    void on(const gate_closed &event);
    void on(const health_seen &event);
    void on(const reference_seen &event);
    void on(const kept_connection_ended &event);
    void on(const gate_tick &event);

    void recordGoodAnswer(microseconds latency);
    void updateWarmLatency();
    void raiseLimitIfHealthy();
    void reduceLimit();
    void handleServerLoss();
    void enterColdState(bool restarted);
    void startDraining();
    void startBackoff(attempt_failure failure);
    void detectStall();
    void runQueued();
    void refuseAll(attempt_failure failure);
    bool isSlow() const;
    bool isStalled(monotonic_time sentAt) const;
    milliseconds expectedWait() const;

    gate_settings m_settings;
    monotonic_time m_now;
    bool m_open = false;
    std::uint32_t m_limit = 1;
    std::uint32_t m_consecutiveGood = 0;
    std::uint32_t m_answersPerIncrease;
    /// Moving averages of latencies in microseconds; 0 while unknown.
    double m_recentUs = 0;
    double m_trendUs = 0;
    double m_trendPeakUs = 0;
    double m_warmUs = 0;
    bool m_restarted = false;
    milliseconds m_coldHold;
    monotonic_time m_coldSince;
    monotonic_time m_holdUntil;
    milliseconds m_backoff;
    monotonic_time m_backoffUntil;
    attempt_failure m_backoffFailure = attempt_failure::server_lost;
    monotonic_time m_lastAnswer;
    /// One request is sent alone and must succeed before more run concurrently.
    bool m_probing = true;
    std::optional<monotonic_time> m_drainingSince;
    bool m_seenUnreachable = false;
    std::map<std::uint64_t, monotonic_time> m_running;
    slot_queue m_queue;
    std::vector<gate_action> m_actions;
};

} // namespace daisystile
