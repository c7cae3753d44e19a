#include "http_server.h"

#include "idle_order.h"
#include "memory_account.h"
#include "memory_relief.h"
#include "tcp_stream.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace daisystile {

std::optional<std::string> http_request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->second;
}

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

namespace {

// One request and its response. Exists until libmicrohttpd has sent the response or the connection is lost.
struct exchange
{
    http_request request;
    std::optional<http_response> response;
    MHD_Connection *connection = nullptr;
    // What the unfinished body takes.
    std::optional<memory_charge> held;
    monotonic_time since;
    monotonic_time progressAt;
    bool dispatched = false;
    bool suspended = false;
    bool tooLarge = false;
    bool ended = false;
};

using shared_exchange = std::shared_ptr<exchange>;

} // namespace

struct http_server::implementation
{
    implementation(reactor &eventLoop, http_handler requestHandler, http_server_limits serverLimits)
        : loop(eventLoop),
          handler(std::move(requestHandler)),
          limits(serverLimits),
          bodies(serverLimits.heldBodyBytes)
    {
    }

    ~implementation()
    {
        *alive = false;
        listener.reset();
        if (daemon == nullptr) {
            return;
        }
        loop.cancelTimer(timer);
        loop.unwatch(epollHandle);
        for (auto *entry : suspendedExchanges) {
            entry->suspended = false;
            MHD_resume_connection(entry->connection);
        }
        MHD_stop_daemon(daemon);
    }

    // libmicrohttpd closes a connection that it doesn't take.
    static void onConnectionChanged(void *self, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode change)
    {
        auto &idle = static_cast<implementation *>(self)->idleConnections;
        if (change == MHD_CONNECTION_NOTIFY_STARTED) {
            idle.add(handleOf(connection));
        } else {
            idle.remove(handleOf(connection));
        }
    }

    // libmicrohttpd closes a connection of which it reads the end.
    bool makeRoom()
    {
        if (connections() < limits.connections) {
            return true;
        }
        if (const auto longest = idleConnections.takeLongest()) {
            shutdown(*longest, SHUT_RDWR);
            runNow();
        }
        return connections() < limits.connections;
    }

    void accepted(int handle)
    {
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        getpeername(handle, reinterpret_cast<sockaddr *>(&peer), &size);
        MHD_add_connection(daemon, handle, reinterpret_cast<const sockaddr *>(&peer), size);
        scheduleRun();
    }

    unsigned connections() const
    {
        return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
    }

    static MHD_Result collectQuery(void *target, enum MHD_ValueKind, const char *key, const char *value)
    {
        static_cast<http_request *>(target)->query[key] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    static MHD_Result collectHeader(void *target, enum MHD_ValueKind, const char *key, const char *value)
    {
        static_cast<http_request *>(target)->headers[lowerCase(key)] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    static MHD_Result
    onRequestData(void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, size_t *size, void **state)
    {
        return static_cast<implementation *>(self)->handleRequestData(connection, url, method, data, size, state);
    }

    static int handleOf(MHD_Connection *connection)
    {
        return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    }

    static void onRequestCompleted(void *self, MHD_Connection *connection, void **state, MHD_RequestTerminationCode)
    {
        auto *entry = static_cast<shared_exchange *>(*state);
        if (entry == nullptr) {
            return;
        }
        (*entry)->ended = true;
        static_cast<implementation *>(self)->endReading(**entry);
        static_cast<implementation *>(self)->openExchanges -= 1;
        static_cast<implementation *>(self)->idleConnections.add(handleOf(connection));
        delete entry;
        *state = nullptr;
    }

    MHD_Result handleRequestData(MHD_Connection *connection, const char *url, const char *method, const char *data, size_t *size, void **state)
    {
        if (*state == nullptr) {
            begin(connection, url, method, state);
            return MHD_YES;
        }
        auto &entry = *static_cast<shared_exchange *>(*state);
        if (*size != 0) {
            appendBody(*entry, data, size);
            return MHD_YES;
        }
        if (!entry->dispatched) {
            entry->dispatched = true;
            dispatch(entry);
        }
        if (entry->response) {
            return sendResponse(*entry);
        }
        if (!entry->suspended) {
            entry->suspended = true;
            suspendedExchanges.push_back(entry.get());
            MHD_suspend_connection(connection);
        }
        return MHD_YES;
    }

    void begin(MHD_Connection *connection, const char *url, const char *method, void **state)
    {
        auto entry = std::make_shared<exchange>();
        entry->connection = connection;
        entry->request.method = method;
        entry->request.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &entry->request);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &entry->request);
        entry->since = loop.now();
        entry->held.emplace(bodies, memory_kind::input);
        reading[handleOf(connection)] = entry.get();
        openExchanges += 1;
        idleConnections.remove(handleOf(connection));
        *state = new shared_exchange(std::move(entry));
    }

    void appendBody(exchange &entry, const char *data, size_t *size)
    {
        if (entry.request.body.size() + *size > limits.bodyBytes) {
            entry.tooLarge = true;
            std::string().swap(entry.request.body);
        } else if (!entry.tooLarge) {
            entry.request.body.append(data, *size);
        }
        *size = 0;
        entry.progressAt = loop.now();
        if (entry.held) {
            entry.held->set(entry.request.body.capacity());
            freeMemory();
        }
    }

    // libmicrohttpd closes a connection of which it reads the end; what the request takes is freed at once.
    void freeMemory()
    {
        const auto excess = bodies.excessBytes();
        if (excess == 0) {
            return;
        }
        std::vector<memory_holder> holders;
        for (const auto &[handle, entry] : reading) {
            holders.push_back({static_cast<std::uint64_t>(handle), entry->held->bytes(), entry->since, entry->progressAt});
        }
        for (const auto handle : connectionsToClose(std::move(holders), excess, loop.now())) {
            auto &entry = *reading.at(static_cast<int>(handle));
            entry.tooLarge = true;
            std::string().swap(entry.request.body);
            endReading(entry);
            shutdown(static_cast<int>(handle), SHUT_RDWR);
        }
        scheduleRun();
    }

    void endReading(exchange &entry)
    {
        if (entry.held) {
            entry.held.reset();
            reading.erase(handleOf(entry.connection));
        }
    }

    void dispatch(const shared_exchange &entry)
    {
        endReading(*entry);
        if (entry->tooLarge) {
            entry->response = http_response {413, R"({"title":"body too large","outcome":"not_run"})", "application/problem+json", {}};
            return;
        }
        handler(std::move(entry->request), [this, entry, stillAlive = alive](http_response response) {
            if (!*stillAlive || entry->ended || entry->response) {
                return;
            }
            entry->response = std::move(response);
            if (entry->suspended) {
                resume(*entry);
            }
        });
    }

    void resume(exchange &entry)
    {
        entry.suspended = false;
        std::erase(suspendedExchanges, &entry);
        MHD_resume_connection(entry.connection);
        scheduleRun();
    }

    MHD_Result sendResponse(exchange &entry) const
    {
        auto &answer = *entry.response;
        if (answer.dropConnection) {
            return MHD_NO;
        }
        auto *response = MHD_create_response_from_buffer(answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
        for (const auto &header : answer.headers) {
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
        if (quiesced) {
            MHD_add_response_header(response, "Connection", "close");
        }
        const auto result = MHD_queue_response(entry.connection, static_cast<unsigned>(answer.status), response);
        MHD_destroy_response(response);
        return result;
    }

    // Several responses may become ready in one iteration of the event loop; libmicrohttpd runs once for all of them.
    void scheduleRun()
    {
        if (runScheduled) {
            return;
        }
        runScheduled = true;
        loop.post([this, stillAlive = alive] {
            if (*stillAlive) {
                runScheduled = false;
                runNow();
            }
        });
    }

    void runNow()
    {
        MHD_run(daemon);
        MHD_UNSIGNED_LONG_LONG wait = 0;
        loop.cancelTimer(timer);
        timer = 0;
        if (MHD_get_timeout(daemon, &wait) == MHD_YES) {
            timer = loop.after(milliseconds {wait}, [this] { runNow(); });
        }
    }

    reactor &loop;
    http_handler handler;
    http_server_limits limits;
    memory_account bodies;
    // Requests of which the body isn't complete, by descriptor.
    std::unordered_map<int, exchange *> reading;
    MHD_Daemon *daemon = nullptr;
    int epollHandle = -1;
    std::unique_ptr<tcp_listener> listener;
    idle_order idleConnections;
    ip_address boundAddress;
    timer_id timer = 0;
    bool runScheduled = false;
    bool quiesced = false;
    std::size_t openExchanges = 0;
    std::vector<exchange *> suspendedExchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

http_server::http_server() = default;
http_server::~http_server() = default;

leaf::result<std::unique_ptr<http_server>> http_server::listen(reactor &loop, const ip_address &address, http_handler handler, http_server_limits limits)
{
    auto server = std::make_unique<http_server>();
    server->m_implementation = std::make_unique<implementation>(loop, std::move(handler), limits);
    auto &self = *server->m_implementation;

    BOOST_LEAF_ASSIGN(self.listener, tcp_listener::listen(loop, address, [&self](int handle) { self.accepted(handle); }));
    self.listener->acceptIf([&self] { return self.makeRoom(); });
    self.boundAddress = {address.host, self.listener->address().port};
    // libmicrohttpd would accept again and again without pause while there is no descriptor for a connection.
    self.daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET,
        0,
        nullptr,
        nullptr,
        &implementation::onRequestData,
        &self,
        MHD_OPTION_NOTIFY_COMPLETED,
        &implementation::onRequestCompleted,
        &self,
        MHD_OPTION_NOTIFY_CONNECTION,
        &implementation::onConnectionChanged,
        &self,
        MHD_OPTION_CONNECTION_LIMIT,
        limits.connections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(limits.idle.count()),
        MHD_OPTION_END);
    if (self.daemon == nullptr) {
        return leaf::new_error(process_error {process_failure::out_of_descriptors, toString(address)});
    }
    self.epollHandle = MHD_get_daemon_info(self.daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop.watch(self.epollHandle, {.read = true, .write = false}, [&self] { self.runNow(); });
    return server;
}

ip_address http_server::address() const
{
    return m_implementation->boundAddress;
}

std::size_t http_server::openRequests() const
{
    return m_implementation->openExchanges;
}

unsigned http_server::openConnections() const
{
    return m_implementation->connections();
}

void http_server::stopListening()
{
    m_implementation->quiesced = true;
    m_implementation->listener.reset();
}

} // namespace daisystile
