#pragma once

#include <Process/process.h>

#include <poll.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace daisystile {

/// Many connections that each send the same bytes and then stay open.
class client_crowd
{
public:
    struct plan
    {
        std::string bytes;
        /// Bytes that a member sends before the next one sends; all that its socket takes if 0.
        std::size_t pieceBytes = 0;
        /// Whether members read what they are sent.
        bool reads = true;
        /// Connections in place of those that were closed.
        int returns = 0;
    };

    client_crowd(const ip_address &address, int members, plan crowdPlan);
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    /// Sends until nothing more happens: all was sent, or the connections are closed, or the other side takes no more.
    void run();
    /// Ends run() soon; may be called from another thread.
    void stop();

private:
    struct member
    {
        int handle = -1;
        std::size_t sent = 0;
    };

    void open(member &each);
    void serve(member &each, short events);
    void send(member &each);
    void receive(member &each);
    void left(member &each);

    ip_address m_address;
    plan m_plan;
    std::vector<member> m_members;
    std::atomic<bool> m_stopped {false};
};

/// A crowd that runs on a thread of its own, from its construction to its destruction.
class pressing_crowd
{
public:
    pressing_crowd(const ip_address &address, int members, client_crowd::plan crowdPlan);
    ~pressing_crowd();
    pressing_crowd(const pressing_crowd &) = delete;
    pressing_crowd &operator=(const pressing_crowd &) = delete;

private:
    client_crowd m_crowd;
    std::atomic<bool> m_ending {false};
    std::thread m_thread;
};

} // namespace daisystile
