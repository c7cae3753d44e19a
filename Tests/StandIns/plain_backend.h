#pragma once

#include <Process/process.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace daisystile {

/// How a plain backend server treats requests.
enum class backend_manner {
    sound,
    /// Says that it did not run the request.
    full,
    /// Runs it and resets the connection.
    lose_answer,
    /// Runs it and answers nothing.
    mute,
    /// Sends a second answer to each request.
    extra_answer,
    /// Ends the connection within the answer.
    truncate,
    /// Says that another server has the address.
    other_server,
    /// Answers 500 with a receipt.
    failing,
};

/// A backend server of the plain front door, on a thread of its own.
class plain_backend
{
public:
    /// Records are what it answers to each request.
    plain_backend(std::string id, std::string records);
    ~plain_backend();
    plain_backend(const plain_backend &) = delete;
    plain_backend &operator=(const plain_backend &) = delete;

    const std::string &id() const;
    ip_address address() const;
    void setManner(backend_manner manner);
    void setDelay(milliseconds delay);
    /// How often each request ran, by its id.
    std::map<std::string, int> runs() const;
    /// The latest request as it came.
    request_message latest() const;

private:
    struct connection;

    void accepted(int handle);
    void serve(connection &from, request_message message);
    void answer(connection &from, const request_message &message);

    std::string m_id;
    std::string m_records;
    reactor m_loop;
    std::unique_ptr<tcp_listener> m_listener;
    std::map<int, std::unique_ptr<connection>> m_connections;
    std::atomic<backend_manner> m_manner {backend_manner::sound};
    std::atomic<int> m_delayMs {0};
    std::atomic<int> m_receipts {0};
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    request_message m_latest;
    std::thread m_thread;
};

} // namespace daisystile
