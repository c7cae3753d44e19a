#pragma once

#include <Process/process.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace daisystile {

/// A request and its answer.
struct soak_request
{
    std::string id;
    std::string method;
    std::string path;
    /// Index of the daemon in the fleet of the test.
    std::size_t daemon = 0;
    /// How often the test had started the daemon when the request was created; differs after a restart.
    unsigned life = 0;
    monotonic_time sentAt;
    /// Empty if the connection ended or the timeout passed without an answer; has status -1 if the answer was malformed.
    std::optional<response_message> answer;
};

/// A keep-alive client that sends one request at a time and never retries one.
class soak_client
{
public:
    /// The callback is called once per request.
    soak_client(reactor &loop, std::function<void(const soak_request &)> ended);

    /// Must be called only while busy() is false. Reuses the open connection if the request is for the same daemon and that
    /// daemon has not been restarted since.
    void send(soak_request request, const ip_address &address);
    /// True from send() until the callback is called.
    bool busy() const;

private:
    void received();
    void finish(std::optional<response_message> answer);
    void onTimeout(std::uint64_t requestNumber);

    reactor &m_loop;
    std::function<void(const soak_request &)> m_ended;
    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<response_reader> m_reader;
    soak_request m_request;
    std::string m_pending;
    std::uint64_t m_requestNumber = 0;
    bool m_busy = false;
};

} // namespace daisystile
