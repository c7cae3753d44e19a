#include "http_client.h"

#include "listening_socket.h"
#include "log.h"

#include <arpa/inet.h>
#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace daisystile {

static constexpr long keepaliveProbeSeconds = 1;

namespace {

struct transfer
{
    http_call_id id = 0;
    CURL *easy = nullptr;
    http_call call;
    // Header list for libcurl; its nodes point into headerText.
    std::string headerText;
    std::vector<curl_slist> headers;
    http_reply reply;
    bool wasSent = false;
    std::function<void(http_result)> callback;
};

} // namespace

struct http_client::implementation
{
    struct watched_socket
    {
        io_interest interest;
        bool inUse = false;
        /// libcurl waited for input on the socket, so the connection was established.
        bool opened = false;
        ip_address peer;
        monotonic_time idleSince;
        /// Value of socketActions when its last call ended.
        std::uint64_t releasedAtAction = 0;
    };

    implementation(reactor &eventLoop, http_client_limits clientLimits)
        : loop(eventLoop),
          multi(curl_multi_init())
    {
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &socketChanged);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &timerChanged);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, clientLimits.connectionsPerAddress);
        curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, clientLimits.totalConnections);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, clientLimits.totalConnections);
    }

    ~implementation()
    {
        *alive = false;
        loop.cancelTimer(timer);
        for (const auto &[handle, interest] : watched) {
            loop.unwatch(handle);
        }
        watched.clear();
        for (auto &[id, entry] : transfers) {
            recycleEasyHandle(*entry);
        }
        transfers.clear();
        for (CURL *easy : idleEasyHandles) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi);
    }

    static int socketChanged(CURL *, curl_socket_t handle, int what, void *client, void *)
    {
        auto *self = static_cast<implementation *>(client);
        if (what != CURL_POLL_REMOVE) {
            self->watch(handle, {(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0});
        } else {
            self->releaseSocket(handle);
        }
        return 0;
    }

    // libcurl usually reuses an idle connection soon, so its socket stays watched. It closes a socket that never connected
    // without notice, and the descriptor may then be reused by another connection.
    void releaseSocket(int handle)
    {
        const auto found = watched.find(handle);
        if (found == watched.end()) {
            return;
        }
        auto &entry = found->second;
        entry.inUse = false;
        entry.idleSince = loop.now();
        entry.releasedAtAction = socketActions;
        if (!entry.opened) {
            unwatch(handle);
        } else if (entry.peer.port == 0) {
            entry.peer = peerOf(handle);
        }
    }

    static ip_address peerOf(int handle)
    {
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        std::array<char, INET_ADDRSTRLEN> text {};
        if (getpeername(handle, reinterpret_cast<sockaddr *>(&peer), &size) != 0 || peer.sin_family != AF_INET
            || !inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size())) {
            return {};
        }
        return {text.data(), ntohs(peer.sin_port)};
    }

    static int prepareSocket(void *, curl_socket_t handle, curlsocktype)
    {
        sharePort(handle);
        return CURL_SOCKOPT_OK;
    }

    // libcurl closes idle connections that it finds ended. A connection closed together with its last call is not
    // reported: the response announced its end.
    static int closeSocket(void *client, curl_socket_t handle)
    {
        auto *self = static_cast<implementation *>(client);
        const auto found = self->watched.find(handle);
        if (found != self->watched.end() && found->second.releasedAtAction != self->socketActions && hasEnded(handle)) {
            self->reportEnd(found->second);
        }
        self->unwatch(handle);
        return close(handle);
    }

    static bool hasEnded(int handle)
    {
        char byte = 0;
        const auto count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    void reportEnd(const watched_socket &entry)
    {
        if (entry.inUse || entry.peer.port == 0 || !connectionEnded) {
            return;
        }
        const auto idleTime = std::chrono::duration_cast<milliseconds>(loop.now() - entry.idleSince);
        loop.post([this, stillAlive = std::weak_ptr(alive), end = closed_idle_connection {entry.peer, idleTime}] {
            if (!stillAlive.expired()) {
                connectionEnded(end);
            }
        });
    }

    void watch(int handle, io_interest interest)
    {
        const auto [found, isNew] = watched.try_emplace(handle);
        auto &entry = found->second;
        entry.inUse = true;
        entry.opened = entry.opened || interest.read;
        if (!isNew && entry.interest.read == interest.read && entry.interest.write == interest.write) {
            return;
        }
        entry.interest = interest;
        loop.watch(handle, interest, [this, handle] { socketReady(handle); });
    }

    void unwatch(int handle)
    {
        if (watched.erase(handle) > 0) {
            loop.unwatch(handle);
        }
    }

    static int timerChanged(CURLM *, long wait, void *client)
    {
        auto *self = static_cast<implementation *>(client);
        self->setTimer(wait < 0 ? monotonic_time::max() : self->loop.now() + milliseconds {wait});
        return 0;
    }

    // libcurl moves its timeout with each transfer, mostly to a later time. An earlier reactor timer is kept; when it fires
    // too early, it is set again.
    void setTimer(monotonic_time at)
    {
        libcurlTimeoutAt = at;
        if (at == monotonic_time::max() || (timer != 0 && timerAt <= at)) {
            return;
        }
        loop.cancelTimer(timer);
        timerAt = at;
        timer = loop.after(std::chrono::ceil<milliseconds>(at - loop.now()), [this] { timerFired(); });
    }

    void timerFired()
    {
        timer = 0;
        if (libcurlTimeoutAt == monotonic_time::max()) {
            return;
        }
        if (libcurlTimeoutAt > loop.now()) {
            setTimer(libcurlTimeoutAt);
            return;
        }
        libcurlTimeoutAt = monotonic_time::max();
        runSocketAction(CURL_SOCKET_TIMEOUT);
    }

    // libcurl resends a request by itself when a reused connection breaks before the response. The request may have been
    // executed, so whether to repeat it is the caller's decision; a second send is aborted.
    static int allowSingleSend(void *call, char *, char *, int, int)
    {
        auto *entry = static_cast<transfer *>(call);
        return std::exchange(entry->wasSent, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    static size_t appendBody(char *data, size_t size, size_t count, void *target)
    {
        static_cast<transfer *>(target)->reply.body.append(data, size * count);
        return size * count;
    }

    // libcurl passes any status of three digits on. A callback that takes nothing ends the call and the connection.
    static bool isStatusLine(std::string_view line)
    {
        constexpr std::size_t digits = 3;
        const auto status = line.substr(std::min(line.find(' '), line.size() - 1) + 1);
        const auto isDigit = [](char c) {
            return c >= '0' && c <= '9';
        };
        const bool number = status.size() > digits && std::all_of(status.begin(), status.begin() + digits, isDigit) && !isDigit(status[digits]);
        return number && status.front() >= '1' && status.front() <= '5';
    }

    static size_t storeHeader(char *data, size_t size, size_t count, void *target)
    {
        const std::string_view line(data, size * count);
        if (line.starts_with("HTTP/") && !isStatusLine(line)) {
            return 0;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            return size * count;
        }
        std::string name(line.substr(0, colon));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
            value.remove_prefix(1);
        }
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
            value.remove_suffix(1);
        }
        static_cast<transfer *>(target)->reply.headers[name] = std::string(value);
        return size * count;
    }

    void socketReady(curl_socket_t handle)
    {
        const auto found = watched.find(handle);
        if (found != watched.end() && !found->second.inUse) {
            reportEnd(found->second);
            unwatch(handle);
            return;
        }
        runSocketAction(handle);
    }

    void runSocketAction(curl_socket_t handle)
    {
        int running = 0;
        socketActions += 1;
        curl_multi_socket_action(multi, handle, 0, &running);
        collectFinished();
    }

    void collectFinished()
    {
        int left = 0;
        std::vector<std::pair<http_call_id, CURLcode>> ended;
        while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            void *target = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
            ended.emplace_back(static_cast<transfer *>(target)->id, message->data.result);
        }
        const auto stillAlive = alive;
        for (const auto &[id, code] : ended) {
            finish(id, code);
            if (!*stillAlive) {
                return;
            }
        }
    }

    void finish(http_call_id id, CURLcode code)
    {
        const auto found = transfers.find(id);
        if (found == transfers.end()) {
            return;
        }
        auto entry = std::move(found->second);
        transfers.erase(found);
        http_result result = resultOf(*entry, code);
        auto callback = std::move(entry->callback);
        recycleEasyHandle(*entry);
        callback(std::move(result));
    }

    static http_result resultOf(transfer &entry, CURLcode code)
    {
        if (code == CURLE_OK) {
            long status = 0;
            curl_easy_getinfo(entry.easy, CURLINFO_RESPONSE_CODE, &status);
            entry.reply.status = static_cast<int>(status);
            return std::move(entry.reply);
        }
        long requestBytes = 0;
        curl_easy_getinfo(entry.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        return http_failure {kindOf(code, requestBytes), requestBytes > 0, curl_easy_strerror(code)};
    }

    static http_failure_kind kindOf(CURLcode code, long requestBytes)
    {
        switch (code) {
        case CURLE_OPERATION_TIMEDOUT:
            return http_failure_kind::timed_out;
        case CURLE_COULDNT_CONNECT:
            return http_failure_kind::connect_failed;
        case CURLE_RECV_ERROR:
        case CURLE_SEND_ERROR:
        case CURLE_GOT_NOTHING:
        case CURLE_PARTIAL_FILE:
        case CURLE_ABORTED_BY_CALLBACK:
            return http_failure_kind::reset;
        default:
            return requestBytes > 0 ? http_failure_kind::malformed : http_failure_kind::connect_failed;
        }
    }

    CURL *acquireEasyHandle()
    {
        if (idleEasyHandles.empty()) {
            return createEasyHandle();
        }
        CURL *easy = idleEasyHandles.back();
        idleEasyHandles.pop_back();
        return easy;
    }

    // Sets the options that are common to all calls.
    CURL *createEasyHandle()
    {
        CURL *easy = curl_easy_init();
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        // Keepalive probes detect a dead connection even while a long poll waits on it.
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, keepaliveProbeSeconds);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, keepaliveProbeSeconds);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &storeHeader);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &allowSingleSend);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &prepareSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        return easy;
    }

    void recycleEasyHandle(transfer &entry)
    {
        curl_multi_remove_handle(multi, entry.easy);
        idleEasyHandles.push_back(entry.easy);
        entry.easy = nullptr;
    }

    void prepare(transfer &entry)
    {
        entry.easy = acquireEasyHandle();
        CURL *easy = entry.easy;
        auto &call = entry.call;
        const std::string url = "http://" + toString(call.address) + call.path;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &entry);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<milliseconds::rep>(call.timeout.count(), 1)));
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &entry);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &entry);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &entry);
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        } else {
            curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        // The server may close a reused connection just as the request is sent; whether it was executed is unknown then.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.newConnection ? 1L : 0L);
        buildHeaderList(entry);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, entry.headers.data());
    }

    static void buildHeaderList(transfer &entry)
    {
        static constexpr std::string_view common[] {"Expect:", "Content-Type: application/json"};
        std::vector<std::size_t> starts;
        auto &text = entry.headerText;
        for (const auto line : common) {
            starts.push_back(text.size());
            text.append(line).push_back('\0');
        }
        for (const auto &header : entry.call.headers) {
            starts.push_back(text.size());
            text.append(header.name).append(": ").append(header.value).push_back('\0');
        }
        entry.headers.resize(starts.size());
        for (std::size_t i = 0; i < starts.size(); ++i) {
            entry.headers[i].data = text.data() + starts[i];
            entry.headers[i].next = i + 1 < starts.size() ? &entry.headers[i + 1] : nullptr;
        }
    }

    reactor &loop;
    CURLM *multi;
    // The timeout that libcurl asked for, and the time at which the reactor's timer fires.
    monotonic_time libcurlTimeoutAt = monotonic_time::max();
    monotonic_time timerAt;
    timer_id timer = 0;
    http_call_id nextCall = 1;
    std::unordered_map<http_call_id, std::unique_ptr<transfer>> transfers;
    std::vector<CURL *> idleEasyHandles;
    std::unordered_map<int, watched_socket> watched;
    std::uint64_t socketActions = 0;
    std::function<void(const closed_idle_connection &)> connectionEnded;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

http_client::http_client(reactor &loop, http_client_limits limits)
    : m_implementation(std::make_unique<implementation>(loop, limits))
{
}

http_client::~http_client() = default;

http_call_id http_client::send(http_call call, std::function<void(http_result)> callback)
{
    auto &self = *m_implementation;
    auto entry = std::make_unique<transfer>();
    entry->id = self.nextCall++;
    entry->call = std::move(call);
    entry->callback = std::move(callback);
    self.prepare(*entry);
    const http_call_id id = entry->id;
    CURL *easy = entry->easy;
    self.transfers.emplace(id, std::move(entry));
    curl_multi_add_handle(self.multi, easy);
    return id;
}

void http_client::cancel(http_call_id call)
{
    auto &self = *m_implementation;
    const auto found = self.transfers.find(call);
    if (found == self.transfers.end()) {
        return;
    }
    auto entry = std::move(found->second);
    self.transfers.erase(found);
    long requestBytes = 0;
    curl_easy_getinfo(entry->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    auto callback = std::move(entry->callback);
    self.recycleEasyHandle(*entry);
    self.loop.post([callback = std::move(callback), sent = requestBytes > 0] { callback(http_failure {http_failure_kind::cancelled, sent, "cancelled"}); });
}

void http_client::onIdleConnectionClosed(std::function<void(const closed_idle_connection &)> callback)
{
    m_implementation->connectionEnded = std::move(callback);
}

} // namespace daisystile
