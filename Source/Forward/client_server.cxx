#include "client_server.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds sweepInterval {200};
// Bytes that a client may pipeline while its request is being answered.
constexpr std::size_t maxPipelinedBytes = 256U << 10U;
// What an open connection takes by itself.
constexpr std::size_t connectionBytes = 2048;
// Clients may still send on a connection whose idle time has nearly reached the limit.
constexpr milliseconds idleGrace {1000};
// A client that has just connected is about to send its first request.
constexpr milliseconds firstRequestGrace {500};
// Clients that have connected or were answered so recently may be about to send.
constexpr milliseconds minIdleForRoom {100};
// A client that is sending its request goes on within this time, unless its link is interrupted.
constexpr milliseconds minStallForRoom {500};
// This part of the connections is closed at a time, so that they aren't searched for each new one.
constexpr std::size_t stalledPartDivisor = 16;
// This part of the connections is kept free, so that idle ones can be closed in order before new ones need their descriptors.
constexpr std::size_t freePartDivisor = 8;
// The limit counts as left below this share, so that it is logged once while the number hovers.
constexpr double limitLeftShare = 0.75;
constexpr int idleChecksPerAccept = 4;
constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusUnavailable = 503;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr milliseconds memoryRetryAfter {500};

int statusOf(read_progress progress)
{
    switch (progress) {
    case read_progress::head_too_large:
        return statusHeadTooLarge;
    case read_progress::body_too_large:
        return statusBodyTooLarge;
    default:
        return statusBadRequest;
    }
}

message_limits limitsOf(const routing_snapshot &view)
{
    if (!view.routes) {
        return {};
    }
    const auto &limits = view.routes->configuration().limits;
    return {.headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes};
}

struct reply_encoder
{
    client_connection after;
    bool bodyless;

    std::string operator()(const response_message &message) const
    {
        return relayedAnswer(message, after, bodyless);
    }

    std::string operator()(const query_answer &answer) const
    {
        return queryAnswer(answer, after, bodyless);
    }

    std::string operator()(const local_reply &reply) const
    {
        return localAnswer(reply.status, after, reply.retryAfter);
    }
};

} // namespace

class client_server::client_connection
{
public:
    client_connection(client_server &server, connection_number number, int handle)
        : m_server(server),
          m_number(number),
          m_reader(limitsOf(*server.m_requests.view())),
          m_since(server.m_loop.now()),
          m_connectionCharge(server.m_memory.account(), memory_kind::connection),
          m_inputCharge(server.m_memory.account(), memory_kind::input),
          m_outputCharge(server.m_memory.account(), memory_kind::output),
          m_stream(server.m_loop,
              handle,
              {.opened = {},
                  .received = [this] { received(); },
                  .ended = [this](stream_end) { ended(); },
                  .sent =
                      [this] {
                          outputTaken();
                      }})
    {
        m_connectionCharge.set(connectionBytes);
        m_stream.keepUntilClosed(server.countDescriptor());
        enterIdle();
    }

    bool busy() const
    {
        return m_answering || (!m_closed && m_reader.started()) || sending() || awaitsFirstRequest();
    }

    // Closing a connection with unread bytes would reset it, and the client could not tell whether its request has run.
    void closeIfIdle()
    {
        if (!m_closed && !busy()) {
            m_stream.readPending();
        }
        if (busy()) {
            return;
        }
        if (!m_closed) {
            m_stream.closeWhenSent();
        }
        m_server.retire(m_number);
    }

    // Like closeIfIdle(), but a new connection isn't kept as long for its first request.
    void closeForRoom()
    {
        m_stream.readPending();
        if (m_closed || inUse()) {
            return;
        }
        m_closed = true;
        m_stream.closeWhenSent();
        m_server.closeForRoom(m_number);
    }

    /// Its request isn't complete, so it was not passed on.
    bool awaitsRest() const
    {
        return !m_closed && !m_answering && !sending() && m_reader.started();
    }

    // What has arrived by now is progress.
    void refuseForRoom()
    {
        m_stream.readPending();
        if (!awaitsRest() || m_server.m_loop.now() - m_progressAt < minStallForRoom) {
            return;
        }
        m_closed = true;
        m_stream.write(localAnswer(statusTimeout, daisystile::client_connection::close));
        static_cast<void>(m_reader.take());
        m_stream.closeWhenSent();
        charge();
        m_server.closeForRoom(m_number);
    }

    // An idle connection holds nothing that closing it would free, nor does one whose only request runs.
    bool holdsMemory() const
    {
        return sending() || (!m_closed && (m_reader.started() || !m_stream.input().empty()));
    }

    memory_holder holder() const
    {
        return {m_number, m_inputCharge.bytes() + m_outputCharge.bytes(), m_holdsSince, m_progressAt};
    }

    // Only a request that wasn't passed on may be refused.
    void closeForMemory()
    {
        if (m_answering) {
            m_server.m_memory.closed(memory_cause::pipelined_requests);
            ended();
        } else if (sending()) {
            m_server.m_memory.closed(memory_cause::unread_answer);
            ended();
        } else {
            m_server.m_memory.closed(memory_cause::unfinished_request);
            refuse(statusTimeout);
        }
    }

    bool inUse() const
    {
        return m_answering || m_reader.started() || sending();
    }

    bool idleFor(milliseconds time) const
    {
        return m_server.m_loop.now() - m_since >= time;
    }

    void enterIdle()
    {
        if (!m_idlePlace) {
            m_idlePlace = m_server.m_idle.insert(m_server.m_idle.end(), this);
        }
    }

    void leaveIdle()
    {
        if (m_idlePlace) {
            m_server.m_idle.erase(*std::exchange(m_idlePlace, std::nullopt));
        }
    }

    void abort()
    {
        m_stream.abort();
    }

    bool isOpen() const
    {
        return m_stream.isOpen();
    }

    void sweep(monotonic_time now, const client_limits &limits)
    {
        if (m_answering || sending()) {
            return;
        }
        if (!m_closed && m_reader.started()) {
            if (now - m_since > limits.headTimeout) {
                refuse(statusTimeout);
            }
        } else if (m_closed || now - m_since > limits.idleTimeout + idleGrace) {
            closeIfIdle();
        }
    }

private:
    bool awaitsFirstRequest() const
    {
        return !m_closed && !m_hasSent && m_server.m_loop.now() - m_since < firstRequestGrace;
    }

    bool sending() const
    {
        return m_stream.isOpen() && m_stream.unsent() > 0;
    }

    void received()
    {
        m_hasSent = true;
        m_progressAt = m_server.m_loop.now();
        leaveIdle();
        if (!m_answering && !sending()) {
            readNext();
        } else if (m_stream.input().size() > maxPipelinedBytes) {
            ended();
        }
        charge();
        m_server.freeMemory();
    }

    // The next request is read only now, so that a client that takes no answers makes this process hold just one.
    void outputTaken()
    {
        m_progressAt = m_server.m_loop.now();
        readNext();
        charge();
        m_server.freeMemory();
    }

    void charge()
    {
        const bool held = m_inputCharge.bytes() + m_outputCharge.bytes() > 0;
        m_inputCharge.set(m_reader.reservedBytes() + m_stream.input().reservedBytes());
        m_outputCharge.set(m_stream.unsentReserved());
        if (!std::exchange(m_held, holdsMemory()) || !held) {
            m_holdsSince = m_server.m_loop.now();
        }
    }

    void readNext()
    {
        // The input may hold several pipelined requests; each is answered before the next is read.
        while (!m_answering && !m_closed && !sending() && !m_stream.input().empty()) {
            if (!m_reader.started()) {
                m_reader.setLimits(limitsOf(*m_server.m_requests.view()));
                m_since = m_server.m_loop.now();
                m_continued = false;
            }
            const auto progress = m_reader.read(m_stream.input());
            if (progress == read_progress::incomplete) {
                continueIfAsked();
                return;
            }
            if (progress != read_progress::complete) {
                m_server.m_malformed.add();
                refuse(statusOf(progress));
                return;
            }
            submit(m_reader.take());
        }
    }

    void continueIfAsked()
    {
        if (!m_continued && m_reader.headComplete() && m_reader.message().expectsContinue) {
            m_continued = true;
            m_stream.write(continueAnswer());
        }
    }

    void submit(request_message message)
    {
        m_keepAlive = message.keepAlive;
        m_bodyless = message.method == "HEAD";
        const auto head = readRequestHead(message);
        if (!head) {
            m_server.m_malformed.add();
            refuse(statusBadRequest);
            return;
        }
        if (!mayStart()) {
            return;
        }
        m_answering = true;
        m_request = 0;
        const auto number = m_server.m_requests.submit(std::move(message), *head, [this](const client_reply &reply) { answer(reply); });
        if (m_answering) {
            m_request = number;
        }
    }

    // Else the request was refused.
    bool mayStart()
    {
        if (!m_server.m_requests.mayStart()) {
            m_server.freeMemory();
        }
        if (m_closed) {
            return false;
        }
        if (m_server.m_requests.mayStart()) {
            return true;
        }
        m_server.m_memory.refused();
        answer(local_reply {statusUnavailable, memoryRetryAfter});
        return false;
    }

    void answer(const client_reply &reply)
    {
        m_answering = false;
        m_request = 0;
        m_since = m_server.m_loop.now();
        const bool keep = m_keepAlive && !m_server.m_draining && !m_server.allInUse();
        m_stream.write(std::visit(reply_encoder {keep ? daisystile::client_connection::keep : daisystile::client_connection::close, m_bodyless}, reply));
        m_progressAt = m_since;
        charge();
        m_server.scheduleFreeMemory();
        if (!keep) {
            close();
            return;
        }
        if (m_stream.input().empty()) {
            enterIdle();
        } else if (!sending()) {
            m_server.m_loop.post([this, &server = m_server, number = m_number] {
                if (server.m_connections.contains(number)) {
                    readNext();
                    charge();
                }
            });
        }
    }

    void refuse(int status)
    {
        m_stream.write(localAnswer(status, daisystile::client_connection::close));
        close();
    }

    // The connection counts as busy until the client has received the whole answer.
    void close()
    {
        m_closed = true;
        static_cast<void>(m_reader.take());
        m_stream.closeWhenSent();
        charge();
        if (!sending()) {
            m_server.retire(m_number);
        }
    }

    // Frees what the connection holds now; the object itself is destroyed later.
    void ended()
    {
        m_closed = true;
        m_stream.abort();
        static_cast<void>(m_reader.take());
        charge();
        if (m_request != 0) {
            m_server.m_requests.clientLeft(m_request);
        }
        m_server.retire(m_number);
    }

    client_server &m_server;
    connection_number m_number;
    request_reader m_reader;
    monotonic_time m_since;
    request_number m_request = 0;
    bool m_answering = false;
    bool m_keepAlive = true;
    bool m_bodyless = false;
    bool m_continued = false;
    // The client has sent at least one byte.
    bool m_hasSent = false;
    bool m_closed = false;
    std::optional<std::list<client_connection *>::iterator> m_idlePlace;
    memory_charge m_connectionCharge;
    memory_charge m_inputCharge;
    memory_charge m_outputCharge;
    bool m_held = false;
    monotonic_time m_holdsSince;
    monotonic_time m_progressAt;
    // Declared last, so that it is destroyed before the members that its callbacks use.
    tcp_stream m_stream;
};

client_server::client_server(reactor &loop, forwarder &requests, metrics &registry, std::size_t maxConnections)
    : m_loop(loop),
      m_requests(requests),
      m_memory(requests.memory(), registry),
      m_openConnections(registry.gauge("daisystile_client_connections", "Connections of clients that are open")),
      m_malformed(registry.counter("daisystile_malformed_requests_total", "Requests that could not be read")),
      m_closedForRoom(registry.counter("daisystile_client_connections_closed_for_room_total",
          "Connections closed for new ones: idle, or with a request that didn't go on")),
      m_limitReached(registry.counter("daisystile_client_connection_limit_reached_total", "Times the limit of client connections was reached")),
      m_maxConnections(maxConnections)
{
    registry.gauge("daisystile_descriptors_allowed", "Open descriptors that the process may have").set(static_cast<double>(allowedDescriptors()));
    registry.gauge("daisystile_client_connections_allowed", "Connections of clients that may be open").set(static_cast<double>(maxConnections));
    sweep();
}

client_server::~client_server() = default;

leaf::result<void> client_server::listen(const ip_address &address)
{
    BOOST_LEAF_ASSIGN(m_listener, tcp_listener::listen(m_loop, address, [this](int handle) { accepted(handle); }));
    m_listener->acceptIf([this] { return makeRoom(); });
    return {};
}

ip_address client_server::address() const
{
    return m_listener->address();
}

void client_server::accepted(int handle)
{
    const auto number = m_next++;
    m_connections.emplace(number, std::make_unique<client_connection>(*this, number, handle));
    m_openConnections.set(static_cast<double>(m_connections.size()));
    if (m_connections.size() > m_maxConnections - m_maxConnections / freePartDivisor) {
        noteLimitReached();
        closeLongestIdle();
    }
}

std::shared_ptr<void> client_server::countDescriptor()
{
    *m_usedDescriptors += 1;
    return {nullptr, [used = m_usedDescriptors](void *) {
                *used -= 1;
            }};
}

bool client_server::makeRoom()
{
    if (*m_usedDescriptors < m_maxConnections) {
        return true;
    }
    noteLimitReached();
    closeLongestIdle();
    if (m_closing.empty()) {
        refuseStalled();
    }
    while (*m_usedDescriptors >= m_maxConnections && !m_closing.empty()) {
        m_closing.front()->abort();
        m_closing.pop_front();
    }
    return *m_usedDescriptors < m_maxConnections;
}

// A client that reads its answer slowly is in use, though its connection is in the list.
void client_server::closeLongestIdle()
{
    for (int i = 0; i < idleChecksPerAccept && !m_idle.empty(); ++i) {
        auto *longest = m_idle.front();
        if (!longest->idleFor(minIdleForRoom)) {
            return;
        }
        if (!longest->inUse()) {
            longest->closeForRoom();
            return;
        }
        m_idle.splice(m_idle.end(), m_idle, m_idle.begin());
    }
}

void client_server::refuseStalled()
{
    std::vector<memory_holder> unfinished;
    for (const auto &[number, connection] : m_connections) {
        if (connection->awaitsRest()) {
            unfinished.push_back(connection->holder());
        }
    }
    const auto count = m_maxConnections / stalledPartDivisor + 1;
    for (const auto number : stalledConnections(std::move(unfinished), count, minStallForRoom, m_loop.now())) {
        if (const auto found = m_connections.find(number); found != m_connections.end()) {
            found->second->refuseForRoom();
        }
    }
}

void client_server::closeForRoom(connection_number number)
{
    const auto found = m_connections.find(number);
    found->second->leaveIdle();
    m_closing.push_back(std::move(found->second));
    m_connections.erase(found);
    m_closedForRoom.add();
}

void client_server::freeMemory()
{
    const auto excess = m_memory.account().excessBytes();
    if (excess == 0) {
        return;
    }
    std::vector<memory_holder> holders;
    for (const auto &[number, connection] : m_connections) {
        if (connection->holdsMemory()) {
            holders.push_back(connection->holder());
        }
    }
    for (const auto number : connectionsToClose(std::move(holders), excess, m_loop.now())) {
        if (const auto found = m_connections.find(number); found != m_connections.end()) {
            found->second->closeForMemory();
        }
    }
}

void client_server::scheduleFreeMemory()
{
    if (m_memory.account().exceeded() && !std::exchange(m_freeScheduled, true)) {
        m_loop.post([this] {
            m_freeScheduled = false;
            freeMemory();
        });
    }
}

bool client_server::allInUse() const
{
    return *m_usedDescriptors >= m_maxConnections && m_idle.empty();
}

void client_server::noteLimitReached()
{
    if (std::exchange(m_atLimit, true)) {
        return;
    }
    m_limitReached.add();
    DAISYSTILE_LOG(WARNING, "clients") << "Client connections have reached their limit." << field("open", m_connections.size())
                                       << field("allowed", m_maxConnections) << field("idle", m_idle.size())
                                       << field("descriptors_allowed", allowedDescriptors());
}

void client_server::noteLimitLeft()
{
    if (m_atLimit && static_cast<double>(m_connections.size()) < limitLeftShare * static_cast<double>(m_maxConnections)) {
        m_atLimit = false;
        DAISYSTILE_LOG(INFO, "clients") << "Client connections are below their limit again." << field("open", m_connections.size());
    }
}

void client_server::retire(connection_number number)
{
    const auto found = m_connections.find(number);
    if (found != m_connections.end()) {
        found->second->leaveIdle();
        m_retired.push_back(std::move(found->second));
        m_connections.erase(found);
    }
}

void client_server::sweep()
{
    m_retired.clear();
    std::erase_if(m_closing, [](const auto &connection) { return !connection->isOpen(); });
    noteLimitLeft();
    freeMemory();
    m_memory.update();
    const auto now = m_loop.now();
    const auto limits = m_requests.view()->routes ? m_requests.view()->routes->configuration().limits : client_limits {};
    std::vector<connection_number> numbers;
    numbers.reserve(m_connections.size());
    for (const auto &[number, connection] : m_connections) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        if (const auto found = m_connections.find(number); found != m_connections.end()) {
            found->second->sweep(now, limits);
        }
    }
    m_openConnections.set(static_cast<double>(m_connections.size()));
    m_loop.after(sweepInterval, [this] { sweep(); });
}

void client_server::startDraining()
{
    m_draining = true;
}

void client_server::closeIdle()
{
    if (m_listener) {
        m_listener->acceptPending();
        m_listener.reset();
    }
    std::vector<client_connection *> open;
    open.reserve(m_connections.size());
    for (const auto &[number, connection] : m_connections) {
        open.push_back(connection.get());
    }
    for (auto *connection : open) {
        connection->closeIfIdle();
    }
}

std::size_t client_server::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) { return entry.second->busy(); }));
}

} // namespace daisystile
