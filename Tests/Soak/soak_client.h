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
    /// Index of the daemon, and the number of its start.
    std::size_t daemon = 0;
    unsigned life = 0;
    monotonic_time sent;
    /// Empty if the connection ended without an answer.
    std::optional<response_message> answer;
};

/// A keep-alive client that sends one request at a time and never retries one.
class soak_client
{
public:
    /// The callback is called once per request.
    soak_client(reactor &loop, std::function<void(const soak_request &)> ended);

    /// Reuses the open connection if it is to the same start of the same daemon.
    void send(soak_request request, const ip_address &address);
    bool busy() const;

private:
    void received();
    void finish(std::optional<response_message> answer);
    void giveUp(std::uint64_t number);

    reactor &m_loop;
    std::function<void(const soak_request &)> m_ended;
    std::unique_ptr<tcp_stream> m_stream;
    std::unique_ptr<response_reader> m_reader;
    soak_request m_request;
    std::string m_pending;
    std::uint64_t m_number = 0;
    bool m_busy = false;
};

} // namespace daisystile
