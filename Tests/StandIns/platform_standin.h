#pragma once

#include "host_list.h"
#include "platform_store.h"
#include "standin_support.h"

#include <list>
#include <random>
#include <set>

namespace daisystile {

/// How the platform fails during an outage.
enum class outage_kind {
    none,
    /// Closes each connection without a response.
    reset,
    /// Responds 503.
    unavailable,
    /// Responds 429.
    busy,
    /// Never responds.
    hang,
};

struct platform_faults
{
    outage_kind outage = outage_kind::none;
    std::uint32_t slowMs = 0;
    /// The next N writes are applied and their responses are dropped.
    std::uint32_t loseAnswersNext = 0;
    double loseAnswersProbability = 0;
    std::set<std::string> cutDomains;
};

/// Simulates the platform's object API, watches and host list, with injected faults.
class platform_standin
{
public:
    explicit platform_standin(reactor &loop);

    http_handler objectApi();
    http_handler controlApi();

private:
    struct pending_watch
    {
        std::string prefix;
        std::uint64_t after;
        std::string domain;
        http_responder respond;
        timer_id timer;
    };

    struct counters
    {
        std::map<std::string, std::uint64_t> calls;
        std::map<std::string, std::uint64_t> putsByPrefix;
        std::map<std::string, std::uint64_t> callsByDomain;
        std::uint64_t bytesIn = 0;
        std::uint64_t bytesOut = 0;
        std::uint64_t lostAnswers = 0;
        std::size_t peakWatches = 0;
    };

    void receive(http_request request, http_responder respond);
    void serve(const http_request &request, const http_responder &respond);
    bool respondWithOutage(const std::string &domain, const http_responder &respond);
    void hang(http_responder respond);
    http_response readObject(const std::string &key) const;
    void create(const http_request &request, const std::string &kind, const http_responder &respond);
    void change(const http_request &request, const std::string &path, const http_responder &respond);
    void finishWrite(const std::string &key, const store_result &result, const http_responder &respond);
    http_response listObjects(const http_request &request, const std::string &prefix) const;
    http_response listResponse(const std::vector<std::string> &items, bool more) const;
    http_response listHosts();
    void watch(const http_request &request, const std::string &prefix, const http_responder &respond);
    http_response controlObject(const http_request &request);
    void notifyWatches();
    void closeWatches(const std::function<bool(const pending_watch &)> &shouldClose);
    http_response eventsResponse(const std::string &prefix, std::uint64_t after) const;
    http_response serveHosts(const http_request &request);
    http_response control(const http_request &request);
    http_response setFaults(const http_request &request);
    http_response restoreCopy(const http_request &request);
    http_response countersResponse() const;

    reactor &m_loop;
    platform_store m_store;
    host_list m_hosts;
    platform_faults m_faults;
    counters m_counters;
    std::list<pending_watch> m_watches;
    /// The store's revision by the time of the change.
    std::map<monotonic_time, std::uint64_t> m_revisions;
    std::mt19937_64 m_random {1};
};

} // namespace daisystile
