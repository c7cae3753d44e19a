#pragma once

#include "load_figures.h"

namespace daisystile {

/// One thread's share of a load run: sends each request when it is due, whatever the answers to earlier ones.
class load_worker
{
public:
    load_worker(const load_plan &plan, unsigned thread, monotonic_time start);
    ~load_worker();
    load_worker(const load_worker &) = delete;
    load_worker &operator=(const load_worker &) = delete;

    /// Returns once every request has ended.
    void run();
    const load_figures &figures() const;

private:
    void sendDue();
    void send(const arrival &request);
    void ended(const arrival &request, const std::string &key, microseconds sentAt, const http_result &result);
    load_answer answerOf(const arrival &request, const http_result &result) const;
    void armTimer();
    void stopWhenIdle();
    microseconds elapsed() const;

    const load_plan &m_plan;
    monotonic_time m_start;
    reactor m_loop;
    http_client m_client;
    arrival_schedule m_schedule;
    std::optional<arrival> m_next;
    load_figures m_figures;
    std::size_t m_open = 0;
    int m_timer = -1;
};

} // namespace daisystile
