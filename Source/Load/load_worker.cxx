#include "load_worker.h"

#include "result_check.h"

#include <sys/timerfd.h>
#include <unistd.h>

namespace daisystile {

static constexpr long totalConnections = 16384;

load_worker::load_worker(const load_plan &plan, unsigned thread, monotonic_time start)
    : m_plan(plan),
      m_start(start),
      m_client(m_loop, {plan.connectionsPerTarget, totalConnections}),
      m_schedule(plan, thread),
      m_statistics(plan),
      m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    m_next = m_schedule.next();
}

load_worker::~load_worker()
{
    m_loop.unwatch(m_timer);
    close(m_timer);
}

void load_worker::run()
{
    // Reactor timers have a resolution of one millisecond, which is too coarse for arrivals; a timerfd is used instead.
    m_loop.watch(m_timer, {.read = true, .write = false}, [this] {
        std::uint64_t expirations = 0;
        [[maybe_unused]] const auto bytes = read(m_timer, &expirations, sizeof expirations);
        sendDue();
    });
    m_loop.post([this] { sendDue(); });
    m_loop.run();
}

const load_statistics &load_worker::statistics() const
{
    return m_statistics;
}

microseconds load_worker::elapsed() const
{
    return std::chrono::duration_cast<microseconds>(m_loop.now() - m_start);
}

void load_worker::sendDue()
{
    while (m_next && m_next->at <= elapsed()) {
        send(*m_next);
        m_next = m_schedule.next();
    }
    armTimer();
    stopWhenIdle();
}

void load_worker::armTimer()
{
    if (!m_next) {
        return;
    }
    const auto wait = std::max<std::int64_t>(1, std::chrono::nanoseconds(m_next->at - elapsed()).count());
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    itimerspec spec {};
    spec.it_value.tv_sec = wait / nanosecondsPerSecond;
    spec.it_value.tv_nsec = wait % nanosecondsPerSecond;
    timerfd_settime(m_timer, 0, &spec, nullptr);
}

void load_worker::stopWhenIdle()
{
    if (!m_next && m_openRequests == 0) {
        m_loop.stop();
    }
}

static std::string fillNumber(const std::string &text, std::uint64_t number)
{
    const auto at = text.find("{n}");
    return at == std::string::npos ? text : text.substr(0, at) + std::to_string(number) + text.substr(at + 3);
}

void load_worker::send(const arrival &request)
{
    const auto &stream = m_plan.streams[request.stream];
    http_call call;
    call.method = "POST";
    call.address = m_plan.targets[request.target];
    call.path = "/v1/services/" + stream.service.value + (stream.kind == request_kind::query ? "/query" : "/execute");
    call.headers.push_back({"Authorization", "Bearer " + stream.token});
    call.body = fillNumber(stream.body, request.number);
    call.timeout = stream.timeout;
    std::string key;
    if (stream.kind == request_kind::execute) {
        key = m_plan.keyPrefix + "-" + stream.name + "-" + std::to_string(request.number);
        call.headers.push_back({"Idempotency-Key", key});
    }
    m_openRequests += 1;
    const auto sentAt = elapsed();
    m_client.send(std::move(call), [this, request, key, sentAt](http_result result) { onRequestEnded(request, key, sentAt, result); });
}

load_answer load_worker::classifyResult(const arrival &request, const http_result &result) const
{
    const auto &stream = m_plan.streams[request.stream];
    auto answer = classifyAnswer(stream.kind, result);
    if (stream.checkResults && (answer.kind == answer_kind::complete || answer.kind == answer_kind::partial)) {
        checkResults(fillNumber(stream.body, request.number), std::get<http_reply>(result).body, answer);
    }
    return answer;
}

void load_worker::onRequestEnded(const arrival &request, const std::string &key, microseconds sentAt, const http_result &result)
{
    m_statistics.addAnswer(m_plan, request, key, sentAt, elapsed(), classifyResult(request, result));
    m_openRequests -= 1;
    stopWhenIdle();
}

} // namespace daisystile
