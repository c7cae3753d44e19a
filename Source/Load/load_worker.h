#pragma once

#include "load_statistics.h"

namespace daisystile {

/// Generates the load of one thread: sends each request at its scheduled time, independent of the responses to earlier ones.
class load_worker
{
public:
    load_worker(const load_plan &plan, unsigned thread, monotonic_time start);
    ~load_worker();
    load_worker(const load_worker &) = delete;
    load_worker &operator=(const load_worker &) = delete;

    /// Returns after every request has finished.
    void run();
    const load_statistics &statistics() const;

private:
    void sendDue();
    void send(const arrival &request);
    void onRequestEnded(const arrival &request, const std::string &key, microseconds sentAt, const http_result &result);
    load_answer classifyResult(const arrival &request, const http_result &result) const;
    void armTimer();
    void stopWhenIdle();
    microseconds elapsed() const;

    const load_plan &m_plan;
    monotonic_time m_start;
    reactor m_loop;
    http_client m_client;
    arrival_schedule m_schedule;
    std::optional<arrival> m_next;
    load_statistics m_statistics;
    std::size_t m_openRequests = 0;
    int m_timer = -1;
};

} // namespace daisystile
