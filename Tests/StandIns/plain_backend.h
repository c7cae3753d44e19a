#pragma once

#include <Process/process.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace daisystile {

/// How a plain_backend treats requests.
enum class backend_response_mode {
    normal,
    /// Responds 503 with Not-Executed and does not run the request.
    not_executed,
    /// Runs the request and closes the connection without a response.
    close_without_response,
    /// Runs the request and never responds.
    no_response,
    /// Sends the response to each request twice.
    duplicate_response,
    /// Closes the connection before the last byte of the response.
    truncate,
    /// Responds 421 with the id of another instance, as when another server has taken over the address.
    other_server,
    /// Responds 500 with a Server-Stamp, so the request was run.
    failing,
    /// Sends header lines, interim responses, body bytes or the extension of a chunk until the caller closes the connection.
    endless_head,
    endless_interim_responses,
    endless_body,
    endless_chunk_extension,
};

/// Backend server that speaks the protocol of the plain HTTP front end, on its own thread.
class plain_backend
{
public:
    /// The records are the body of the response to each request.
    plain_backend(std::string id, std::string records);
    ~plain_backend();
    plain_backend(const plain_backend &) = delete;
    plain_backend &operator=(const plain_backend &) = delete;

    const std::string &id() const;
    ip_address address() const;
    void setResponseMode(backend_response_mode mode);
    void setDelay(milliseconds delay);
    /// Header lines, each ending in CRLF, that are added to every response.
    void setExtraHeaders(std::string lines);
    /// What all further responses have after "HTTP/1.1 " in their first line.
    void setStatusLine(std::string line);
    /// The process ends as soon as it begins to run a request whose path starts like this: it drops all connections and
    /// refuses new ones. Empty for none.
    void setFatalPath(std::string prefix);
    /// Ends the process at once, as a crash does.
    void crash();
    bool ended() const;
    /// When each request with the fatal path arrived.
    std::vector<monotonic_time> fatalArrivals() const;
    /// Number of requests that it got, whether or not it ran them.
    int arrivals() const;
    /// When each request arrived that it ran.
    std::vector<monotonic_time> runTimes() const;
    /// How often each request was run, by request id.
    std::map<std::string, int> runs() const;
    /// The latest request that was run, as received.
    request_message latest() const;

private:
    struct connection;

    void addConnection(int handle);
    void serve(connection &from, request_message message);
    bool isFatal(const request_message &message);
    void end();
    void sendResponse(connection &from, const request_message &message);
    void sendEndlessly(int key, const std::string &bytes);
    std::string extraHeaders() const;
    std::string statusLine() const;

    std::string m_id;
    std::string m_records;
    reactor m_loop;
    std::unique_ptr<tcp_listener> m_listener;
    std::map<int, std::unique_ptr<connection>> m_connections;
    std::atomic<backend_response_mode> m_responseMode {backend_response_mode::normal};
    std::atomic<int> m_delayMs {0};
    std::atomic<int> m_lastStamp {0};
    std::atomic<int> m_arrivals {0};
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    request_message m_latest;
    std::string m_extraHeaders;
    std::optional<std::string> m_statusLine;
    std::string m_fatalPath;
    std::vector<monotonic_time> m_fatalArrivals;
    std::vector<monotonic_time> m_runTimes;
    ip_address m_address;
    std::atomic<bool> m_ended {false};
    std::thread m_thread;
};

} // namespace daisystile
