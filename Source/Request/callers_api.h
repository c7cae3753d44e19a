#pragma once

#include "burn_recorder.h"
#include "callers_json.h"
#include "contract_limits.h"
#include "coordinator.h"

#include <functional>
#include <memory>

namespace daisystile {

/// An execute request that a caller may make.
struct execute_submission
{
    service_name service;
    std::shared_ptr<const contract> terms;
    idempotency_key key;
    fingerprint request;
    std::string body;
    milliseconds wait {0};
};

/// The callers' HTTP interface of one daemon.
class callers_api
{
public:
    struct services
    {
        /// Runs a query; false when its service has no shards here.
        std::function<bool(search_request, search_callback)> search;
        /// Runs an execute request and gives the whole HTTP answer.
        std::function<void(execute_submission, http_responder)> execute;
        /// Not ready while false; the balancer then sends no new callers.
        std::function<bool()> accepting;
        std::function<std::string()> metricsText;
        /// Told of each request's end once its customer is known; caller's mistakes left out.
        std::function<void(const ended_request &, const contract &)> ended;
        /// Holds the customer to its contract; whoever is let in is released when answered.
        std::function<void(const std::shared_ptr<const contract> &, milliseconds, admission_callback)> admit;
        std::function<void(const customer_id &)> release;
    };

    callers_api(reactor &loop, services uses, metrics &figures);
    ~callers_api();
    callers_api(const callers_api &) = delete;
    callers_api &operator=(const callers_api &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    /// Serves one request; the handler for an http_server.
    void handle(http_request request, http_responder respond);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Hash of what a request asks of a service.
fingerprint fingerprintOf(const service_name &service, std::string_view canonicalBody);

} // namespace daisystile
