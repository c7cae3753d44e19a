#include "soak_client.h"

namespace daisystile {

namespace {

constexpr milliseconds timeLeft {1500};
// Longer than the request's deadline, to allow for a busy machine.
constexpr milliseconds answerTimeout {6000};

std::string encode(const soak_request &request)
{
    const bool body = request.method == "POST";
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: " + request.id
        + "\r\nDeadline-Ms: " + std::to_string(timeLeft.count()) + (body ? "\r\nContent-Length: 4\r\n\r\nnote" : "\r\n\r\n");
}

} // namespace

soak_client::soak_client(reactor &loop, std::function<void(const soak_request &)> ended)
    : m_loop(loop),
      m_ended(std::move(ended))
{
}

void soak_client::send(soak_request request, const ip_address &address)
{
    const bool reuse = m_stream && m_stream->isOpen() && m_request.daemon == request.daemon && m_request.life == request.life;
    m_request = std::move(request);
    m_request.sentAt = m_loop.now();
    m_busy = true;
    m_requestNumber += 1;
    m_loop.after(answerTimeout, [this, requestNumber = m_requestNumber] { onTimeout(requestNumber); });
    if (reuse) {
        m_stream->write(encode(m_request));
        return;
    }
    m_pending = encode(m_request);
    m_reader = std::make_unique<response_reader>();
    m_stream = std::make_unique<tcp_stream>(m_loop,
        address,
        tcp_stream::callbacks {.opened = [this] { m_stream->write(m_pending); },
            .received = [this] { received(); },
            .ended =
                [this](stream_end) {
                    finish(std::nullopt);
                }});
}

bool soak_client::busy() const
{
    return m_busy;
}

void soak_client::received()
{
    const auto progress = m_reader->read(m_stream->input());
    if (progress == read_progress::incomplete) {
        return;
    }
    if (progress != read_progress::complete || !m_busy) {
        response_message broken;
        broken.status = -1;
        m_loop.post([old = std::shared_ptr<tcp_stream>(std::move(m_stream))] {});
        finish(std::move(broken));
        return;
    }
    auto answer = m_reader->take();
    if (!answer.keepAlive) {
        m_loop.post([old = std::shared_ptr<tcp_stream>(std::move(m_stream))] {});
    }
    finish(std::move(answer));
}

void soak_client::finish(std::optional<response_message> answer)
{
    if (!m_busy) {
        return;
    }
    m_busy = false;
    m_request.answer = std::move(answer);
    m_ended(m_request);
}

void soak_client::onTimeout(std::uint64_t requestNumber)
{
    if (m_busy && requestNumber == m_requestNumber) {
        m_stream.reset();
        finish(std::nullopt);
    }
}

} // namespace daisystile
