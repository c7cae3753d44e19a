#pragma once

#include "burn_recorder.h"
#include "callers_json.h"
#include "contract_limits.h"
#include "coordinator.h"

#include <functional>
#include <memory>

namespace daisystile {

/// An execute request that passed authorization.
struct execute_submission
{
    service_name service;
    std::shared_ptr<const contract> terms;
    idempotency_key key;
    fingerprint request;
    std::string body;
    milliseconds wait {0};
};

/// HTTP interface of one daemon for callers.
class callers_api
{
public:
    struct services
    {
        /// Runs a query; returns false if the service has no shards here.
        std::function<bool(search_request, search_callback)> search;
        /// Runs an execute request and produces the complete HTTP response.
        std::function<void(execute_submission, http_responder)> execute;
        /// While false, the readiness check fails and the load balancer sends no new callers.
        std::function<bool()> accepting;
        std::function<std::string()> metricsText;
        /// Called at the end of each request of a known customer, except for client errors.
        std::function<void(const completed_request &, const contract &)> ended;
        /// Admits a request within the customer's contract; an admitted request is released when it is answered.
        std::function<void(const std::shared_ptr<const contract> &, milliseconds, admission_callback)> admit;
        std::function<void(const customer_id &)> release;
    };

    callers_api(reactor &loop, services uses, metrics &metricRegistry);
    ~callers_api();
    callers_api(const callers_api &) = delete;
    callers_api &operator=(const callers_api &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    /// Request handler for an http_server.
    void handle(http_request request, http_responder respond);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Returns a hash of the service and the canonical request body.
fingerprint fingerprintOf(const service_name &service, std::string_view canonicalBody);

} // namespace daisystile
