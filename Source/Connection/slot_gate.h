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
    /// Requests that the server runs at a time when warm.
    std::uint32_t slots = 1;
    std::size_t queueLimit = 16;
    /// Good answers in a row, for each request allowed, before one more is; each refusal doubles them up to the limit.
    std::uint32_t growthAnswers = 4;
    std::uint32_t growthAnswersLimit = 256;
    /// Answers slower than the server's usual time by this factor count as cold.
    double slowFactor = 1.8;
    /// A server that was lost, or whose usual time isn't known, gets one request at a time for so long; twice as long
    /// each time that it fails after it was given more.
    milliseconds coldHold {10000};
    milliseconds coldHoldLimit {300000};
    /// A server that stays slower than usual for so long without a failure is taken for warm.
    milliseconds slowHold {60000};
    /// After so long without an answer the next request goes alone.
    milliseconds idleCheck {250};
    /// A server that has answered nothing for longer than this, and than so many usual times, has got stuck.
    milliseconds stuckTime {100};
    double stuckFactor = 8;
    milliseconds firstPause {50};
    milliseconds longestPause {2000};
    /// A server that answers elsewhere may end a connection that it kept unused for longer than this.
    milliseconds unusedConnection {2000};
    /// A server that said it is leaving and has never gone away is tried again after this.
    milliseconds drainHold {60000};
};

enum class request_end {
    good,
    /// Refused by the server as more than it bears.
    shed,
    draining,
    /// The connection broke or could not be made.
    lost,
    timed_out,
    cancelled,
    /// Refused for a reason that tells nothing of the server's load, or never sent.
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

/// This daemon owns the server from now on; allowed is what its former owner handed over, or 0.
struct gate_opened
{
    std::uint16_t allowed = 0;
};

/// This daemon owns the server no longer.
struct gate_closed
{
};

enum class health_state {
    healthy,
    draining,
    unreachable,
};

/// What the server's health endpoint said; it may lag or mislead.
struct health_seen
{
    health_state state = health_state::healthy;
};

/// The usual time of warm servers of the same service.
struct reference_seen
{
    microseconds latency;
};

/// The server ended a connection between requests, which was unused for so long.
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

/// The request has not run.
struct refuse_request
{
    std::uint64_t id = 0;
    attempt_failure failure = attempt_failure::none;
};

using gate_action = std::variant<run_request, refuse_request>;

/// Decides which requests one backend server gets, and how many at a time. Pure: time comes with each event.
class slot_gate
{
public:
    explicit slot_gate(gate_settings settings);

    std::vector<gate_action> decide(const gate_event &event, monotonic_time now);

    /// Requests that may run at this moment; 0 while paused or draining.
    std::size_t allowed(monotonic_time now) const;
    std::size_t running() const;
    std::size_t queued() const;
    bool draining() const;
    /// What a new owner should start with.
    std::uint16_t handover() const;
    /// Usual time when warm; zero while unknown.
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

    void answered(microseconds latency);
    void takeForWarm();
    void growIfGood();
    void shedByServer();
    void lost();
    void startCold(bool restarted);
    void startDraining();
    void pause(attempt_failure failure);
    void noticeStuck();
    void sendWaiting();
    void refuseAll(attempt_failure failure);
    bool isSlow() const;
    bool silentSince(monotonic_time sentAt) const;
    milliseconds expectedWait() const;

    gate_settings m_settings;
    monotonic_time m_now;
    bool m_open = false;
    std::uint32_t m_limit = 1;
    std::uint32_t m_goodInRow = 0;
    std::uint32_t m_growthAnswers;
    /// Averages of answer times in microseconds; 0 while unknown.
    double m_recentUs = 0;
    double m_trendUs = 0;
    double m_trendPeakUs = 0;
    double m_warmUs = 0;
    bool m_restarted = false;
    milliseconds m_hold;
    monotonic_time m_coldSince;
    monotonic_time m_holdUntil;
    milliseconds m_pause;
    monotonic_time m_pausedUntil;
    attempt_failure m_pauseFailure = attempt_failure::server_lost;
    monotonic_time m_lastAnswer;
    /// One request has to come back well before more are sent at a time.
    bool m_checking = true;
    std::optional<monotonic_time> m_drainingSince;
    bool m_wentAway = false;
    std::map<std::uint64_t, monotonic_time> m_running;
    slot_queue m_queue;
    std::vector<gate_action> m_actions;
};

} // namespace daisystile
