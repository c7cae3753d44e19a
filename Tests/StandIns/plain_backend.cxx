#include "plain_backend.h"

#include "standin_support.h"

namespace daisystile {

struct plain_backend::connection
{
    connection(plain_backend &server, int number, int handle)
        : reader({}),
          stream(server.m_loop,
              handle,
              {.opened = {},
                  .received =
                      [this, &server] {
                          if (reader.read(stream.input()) == read_progress::complete) {
                              server.serve(*this, reader.take());
                          }
                      },
                  .ended =
                      [&server, number](stream_end) {
                          server.m_loop.post([&server, number] { server.m_connections.erase(number); });
                      }}),
          key(number)
    {
    }

    request_reader reader;
    tcp_stream stream;
    int key;
};

plain_backend::plain_backend(std::string id, std::string records)
    : m_id(std::move(id)),
      m_records(std::move(records))
{
    m_listener = tcp_listener::listen(m_loop, {"127.0.0.1", 0}, [this](int handle) { addConnection(handle); }).value();
    m_address = m_listener->address();
    m_thread = std::thread([this] { m_loop.run(); });
}

plain_backend::~plain_backend()
{
    m_loop.stop();
    m_thread.join();
}

const std::string &plain_backend::id() const
{
    return m_id;
}

ip_address plain_backend::address() const
{
    return m_address;
}

void plain_backend::setResponseMode(backend_response_mode mode)
{
    m_responseMode = mode;
}

void plain_backend::setDelay(milliseconds delay)
{
    m_delayMs = static_cast<int>(delay.count());
}

void plain_backend::setExtraHeaders(std::string lines)
{
    const std::lock_guard guard(m_mutex);
    m_extraHeaders = std::move(lines);
}

std::string plain_backend::extraHeaders() const
{
    const std::lock_guard guard(m_mutex);
    return m_extraHeaders;
}

void plain_backend::setStatusLine(std::string line)
{
    const std::lock_guard guard(m_mutex);
    m_statusLine = std::move(line);
}

std::string plain_backend::statusLine() const
{
    const std::lock_guard guard(m_mutex);
    if (m_statusLine) {
        return *m_statusLine;
    }
    return m_responseMode == backend_response_mode::failing ? "500 Internal Server Error" : "200 OK";
}

void plain_backend::setFatalPath(std::string prefix)
{
    const std::lock_guard guard(m_mutex);
    m_fatalPath = std::move(prefix);
}

void plain_backend::crash()
{
    m_loop.post([this] { end(); });
}

bool plain_backend::ended() const
{
    return m_ended;
}

std::vector<monotonic_time> plain_backend::fatalArrivals() const
{
    const std::lock_guard guard(m_mutex);
    return m_fatalArrivals;
}

int plain_backend::arrivals() const
{
    return m_arrivals;
}

std::vector<monotonic_time> plain_backend::runTimes() const
{
    const std::lock_guard guard(m_mutex);
    return m_runTimes;
}

bool plain_backend::isFatal(const request_message &message)
{
    const std::lock_guard guard(m_mutex);
    const bool fatal = !m_fatalPath.empty() && message.target.starts_with(m_fatalPath);
    if (fatal) {
        m_fatalArrivals.push_back(m_loop.now());
    }
    return fatal;
}

void plain_backend::end()
{
    m_ended = true;
    m_listener.reset();
    m_connections.clear();
}

std::map<std::string, int> plain_backend::runs() const
{
    const std::lock_guard guard(m_mutex);
    return m_runs;
}

request_message plain_backend::latest() const
{
    const std::lock_guard guard(m_mutex);
    return m_latest;
}

void plain_backend::addConnection(int handle)
{
    static std::atomic<int> next {1};
    const int key = next++;
    m_connections.emplace(key, std::make_unique<connection>(*this, key, handle));
}

void plain_backend::serve(connection &from, request_message message)
{
    m_arrivals += 1;
    const auto mode = m_responseMode.load();
    if (mode == backend_response_mode::not_executed) {
        from.stream.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + extraHeaders() + "\r\n");
        return;
    }
    if (mode == backend_response_mode::other_server) {
        from.stream.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\nContent-Length: 0\r\n" + extraHeaders() + "\r\n");
        return;
    }
    if (isFatal(message)) {
        crash();
        return;
    }
    {
        const std::lock_guard guard(m_mutex);
        const auto *id = message.header("Request-Id");
        m_runs[id == nullptr ? "" : *id] += 1;
        m_runTimes.push_back(m_loop.now());
        m_latest = message;
    }
    m_loop.after(milliseconds {m_delayMs.load()}, [this, key = from.key, message = std::move(message)] {
        if (const auto found = m_connections.find(key); found != m_connections.end()) {
            sendResponse(*found->second, message);
        }
    });
}

void plain_backend::sendResponse(connection &from, const request_message &message)
{
    const auto mode = m_responseMode.load();
    if (mode == backend_response_mode::no_response) {
        return;
    }
    if (mode == backend_response_mode::close_without_response) {
        m_connections.erase(from.key);
        return;
    }
    const std::string head = "HTTP/1.1 200 OK\r\n" + extraHeaders();
    switch (mode) {
    case backend_response_mode::endless_head:
        from.stream.write(head);
        sendEndlessly(from.key, "Filler: " + std::string(1000, 'x') + "\r\n");
        return;
    case backend_response_mode::endless_interim_responses:
        sendEndlessly(from.key, "HTTP/1.1 102 Processing\r\n\r\n");
        return;
    case backend_response_mode::endless_body:
        from.stream.write(head + "\r\n");
        sendEndlessly(from.key, std::string(16384, 'x'));
        return;
    case backend_response_mode::endless_chunk_extension:
        from.stream.write(head + "Transfer-Encoding: chunked\r\n\r\n5;");
        sendEndlessly(from.key, std::string(16384, 'x'));
        return;
    default:
        break;
    }
    const auto *id = message.header("Request-Id");
    const auto stamp = m_id + "." + std::to_string(++m_lastStamp);
    auto bytes = "HTTP/1.1 " + statusLine() + "\r\nServer-Stamp: " + stamp + "\r\nRequest-Id: " + (id == nullptr ? "" : *id)
        + "\r\nContent-Length: " + std::to_string(m_records.size()) + "\r\n" + extraHeaders() + "\r\n" + m_records;
    if (mode == backend_response_mode::truncate) {
        from.stream.write(std::string_view(bytes).substr(0, bytes.size() - 1));
        from.stream.closeWhenSent();
        return;
    }
    from.stream.write(bytes);
    if (mode == backend_response_mode::duplicate_response) {
        m_loop.after(milliseconds {2}, [this, key = from.key, bytes] {
            if (const auto found = m_connections.find(key); found != m_connections.end()) {
                found->second->stream.write(bytes);
            }
        });
    }
}

// Sends as fast as the caller reads.
void plain_backend::sendEndlessly(int key, const std::string &bytes)
{
    constexpr std::size_t maxUnsentBytes = 1U << 20U;
    const auto found = m_connections.find(key);
    if (found == m_connections.end()) {
        return;
    }
    while (found->second->stream.isOpen() && found->second->stream.unsent() < maxUnsentBytes) {
        found->second->stream.write(bytes);
    }
    m_loop.after(milliseconds {1}, [this, key, bytes] { sendEndlessly(key, bytes); });
}

} // namespace daisystile
