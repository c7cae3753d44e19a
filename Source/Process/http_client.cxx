#include "http_client.h"

#include "log.h"

#include <curl/curl.h>

#include <algorithm>
#include <unordered_map>

namespace daisystile {

namespace {

struct transfer
{
    http_call_id id = 0;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    http_call call;
    http_reply reply;
    std::function<void(http_result)> callback;
};

} // namespace

struct http_client::implementation
{
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
        for (auto &[id, entry] : transfers) {
            release(*entry);
        }
        transfers.clear();
        for (CURL *easy : idleHandles) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi);
        for (const int handle : watched) {
            loop.unwatch(handle);
        }
    }

    static int socketChanged(CURL *, curl_socket_t handle, int what, void *client, void *)
    {
        auto *self = static_cast<implementation *>(client);
        if (what == CURL_POLL_REMOVE) {
            self->loop.unwatch(handle);
            std::erase(self->watched, handle);
            return 0;
        }
        if (std::find(self->watched.begin(), self->watched.end(), handle) == self->watched.end()) {
            self->watched.push_back(handle);
        }
        const io_interest interest {(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0};
        self->loop.watch(handle, interest, [self, handle] { self->socketReady(handle); });
        return 0;
    }

    static int timerChanged(CURLM *, long wait, void *client)
    {
        auto *self = static_cast<implementation *>(client);
        self->loop.cancelTimer(self->timer);
        self->timer = 0;
        if (wait >= 0) {
            self->timer = self->loop.after(milliseconds {wait}, [self] { self->socketReady(CURL_SOCKET_TIMEOUT); });
        }
        return 0;
    }

    static size_t takeBody(char *data, size_t size, size_t count, void *target)
    {
        static_cast<transfer *>(target)->reply.body.append(data, size * count);
        return size * count;
    }

    static size_t takeHeader(char *data, size_t size, size_t count, void *target)
    {
        const std::string_view line(data, size * count);
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
        int running = 0;
        curl_multi_socket_action(multi, handle, 0, &running);
        collectEnded();
    }

    void collectEnded()
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
        release(*entry);
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
            return http_failure_kind::reset;
        default:
            return requestBytes > 0 ? http_failure_kind::malformed : http_failure_kind::connect_failed;
        }
    }

    CURL *takeHandle()
    {
        if (idleHandles.empty()) {
            return curl_easy_init();
        }
        CURL *easy = idleHandles.back();
        idleHandles.pop_back();
        return easy;
    }

    void release(transfer &entry)
    {
        curl_multi_remove_handle(multi, entry.easy);
        curl_slist_free_all(entry.headers);
        curl_easy_reset(entry.easy);
        idleHandles.push_back(entry.easy);
        entry.easy = nullptr;
        entry.headers = nullptr;
    }

    void prepare(transfer &entry)
    {
        entry.easy = takeHandle();
        CURL *easy = entry.easy;
        auto &call = entry.call;
        const std::string url = "http://" + toString(call.address) + call.path;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &entry);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<milliseconds::rep>(call.timeout.count(), 1)));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &takeBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &entry);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &takeHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &entry);
        if (call.method != "GET") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        }
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        }
        // The library sends a request again by itself when a kept connection proves dead; a new one rules that out.
        if (call.sendAtMostOnce) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        }
        entry.headers = curl_slist_append(entry.headers, "Expect:");
        entry.headers = curl_slist_append(entry.headers, "Content-Type: application/json");
        for (const auto &header : call.headers) {
            entry.headers = curl_slist_append(entry.headers, (header.name + ": " + header.value).c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, entry.headers);
    }

    reactor &loop;
    CURLM *multi;
    timer_id timer = 0;
    http_call_id nextCall = 1;
    std::unordered_map<http_call_id, std::unique_ptr<transfer>> transfers;
    std::vector<CURL *> idleHandles;
    std::vector<int> watched;
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
    self.release(*entry);
    self.loop.post([callback = std::move(callback), sent = requestBytes > 0] { callback(http_failure {http_failure_kind::cancelled, sent, "cancelled"}); });
}

} // namespace daisystile
