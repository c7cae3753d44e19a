#include "backend_connection.h"

#include <algorithm>

namespace daisystile {

namespace {

// Servers that send no keep-alive time close idle connections within a second.
constexpr milliseconds defaultKeepAlive {700};
// Allows for a request's way to the server, so that the server doesn't close the idle connection meanwhile.
constexpr milliseconds keepAliveMargin {400};
constexpr message_limits answerLimits {.headBytes = 32768, .bodyBytes = 8U << 20U};

} // namespace

backend_connection::backend_connection(reactor &loop, const ip_address &address, milliseconds maxIdle, buffer_budget &budget, callbacks notify)
    : m_loop(loop),
      m_maxIdle(maxIdle),
      m_notify(std::move(notify)),
      m_reader(answerLimits),
      m_buffered(budget),
      m_unsent(budget.account(), memory_kind::attempt),
      m_startedAt(loop.now()),
      m_stream(loop,
          address,
          {.opened = [this] { opened(); },
              .received = [this] { received(); },
              .ended = [this](stream_end how) { ended(how); },
              .sent =
                  [this] {
                      chargeRequest();
                  }})
{
}

void backend_connection::begin(const client_request_id &request, std::string bytes, bool bodyless)
{
    m_request = request;
    m_pending = std::move(bytes);
    m_busy = true;
    m_sent = false;
    m_startedAt = m_loop.now();
    m_abandonedUntil = monotonic_time::max();
    if (bodyless) {
        m_reader.expectNoBody();
    }
    chargeRequest();
    if (m_stream.isOpen()) {
        opened();
    }
}

void backend_connection::chargeRequest()
{
    m_unsent.set(m_pending.capacity() + m_stream.unsentReserved());
}

void backend_connection::opened()
{
    if (!m_busy || m_sent) {
        return;
    }
    m_sent = true;
    const auto bytes = std::exchange(m_pending, {});
    m_stream.write(bytes);
    chargeRequest();
}

void backend_connection::received()
{
    if (!m_busy || !m_sent) {
        // Unsolicited bytes: no request was sent.
        m_closing = true;
        m_ended = true;
        m_notify.closedWhileIdle(*this);
        return;
    }
    const auto progress = read();
    if (progress == read_progress::incomplete && m_buffered.resize(m_reader.reservedBytes())) {
        return;
    }
    if (progress != read_progress::complete) {
        m_closing = true;
        finish(exchange_broken {true, progress == read_progress::malformed ? "answer malformed" : "answer too large"});
        return;
    }
    takeAnswer(take());
}

// The head may be followed by a body that never ends, so the notice is reported as soon as the head is complete.
read_progress backend_connection::read()
{
    const auto progress = m_reader.read(m_stream.input());
    if (!m_headChecked && m_reader.headComplete()) {
        m_headChecked = true;
        if (const auto notice = readServerNotice(m_reader.message())) {
            m_notify.noticed(*this, *notice);
        }
    }
    return progress;
}

response_message backend_connection::take()
{
    m_headChecked = false;
    m_buffered.resize(0);
    return m_reader.take();
}

void backend_connection::takeAnswer(response_message message)
{
    auto answer = readServerAnswer(message, m_request);
    if (answer.verdict == answer_verdict::foreign) {
        // A duplicate answer to an earlier request; the awaited one may still follow.
        m_closing = true;
        if (!m_stream.input().empty()) {
            received();
        }
        return;
    }
    const bool more = !m_stream.input().empty() || m_stream.unsent() > 0;
    m_closing = m_closing || answer.closing || more;
    const auto keepAlive = answer.keepAlive ? std::max(milliseconds {*answer.keepAlive} - keepAliveMargin, keepAliveMargin) : defaultKeepAlive;
    m_idleUntil = m_loop.now() + std::min(keepAlive, m_maxIdle);
    finish(exchange_answer {std::move(message), std::move(answer)});
}

void backend_connection::ended(stream_end how)
{
    m_ended = true;
    if (!m_busy) {
        m_notify.closedWhileIdle(*this);
        return;
    }
    if (how == stream_end::local_shortage) {
        finish(exchange_broken {.mayHaveRun = false, .reason = "no descriptor or port for a connection", .localShortage = true});
        return;
    }
    if (!m_sent) {
        finish(exchange_broken {false, "connection refused"});
        return;
    }
    if (how == stream_end::closed && m_reader.end() == read_progress::complete) {
        takeAnswer(take());
        if (m_busy) {
            finish(exchange_broken {true, "foreign answer"});
        }
        return;
    }
    finish(exchange_broken {.mayHaveRun = true, .reason = how == stream_end::reset ? "connection reset" : "connection closed", .connectionLost = true});
}

void backend_connection::finish(exchange_result result)
{
    m_busy = false;
    m_notify.done(*this, std::move(result));
}

bool backend_connection::busy() const
{
    return m_busy;
}

bool backend_connection::isOpen() const
{
    return m_stream.isOpen();
}

bool backend_connection::usable(monotonic_time now) const
{
    return !m_busy && !m_closing && !m_ended && now < m_idleUntil;
}

bool backend_connection::expired(monotonic_time now) const
{
    return !m_busy && !usable(now);
}

monotonic_time backend_connection::startedAt() const
{
    return m_startedAt;
}

void backend_connection::close()
{
    m_ended = true;
    m_busy = false;
    std::string().swap(m_pending);
    m_stream.abort();
    chargeRequest();
}

void backend_connection::abandon(monotonic_time until)
{
    m_abandonedUntil = until;
}

bool backend_connection::abandonExpired(monotonic_time now) const
{
    return m_busy && now >= m_abandonedUntil;
}

} // namespace daisystile
