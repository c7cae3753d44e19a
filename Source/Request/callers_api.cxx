#include "callers_api.h"

#include <unordered_map>

namespace daisystile {

static constexpr std::string_view servicesPath = "/v1/services/";
static constexpr seconds notReadyRetryAfter {2};
static constexpr std::size_t maxIdempotencyKeyLength = 200;

fingerprint fingerprintOf(const service_name &service, std::string_view canonicalBody)
{
    return {stableHash(canonicalBody, stableHash(service.value))};
}

namespace {

enum class verb {
    query,
    execute,
};

struct callers_path
{
    service_name service;
    verb action;
};

// An authorized call.
struct checked_call
{
    callers_path target;
    std::shared_ptr<const contract> terms;
    milliseconds wait;
};

using shared_completed_request = std::shared_ptr<completed_request>;

} // namespace

// Returns the refusal reason for an HTTP status: empty for success, none for client errors.
static std::optional<std::string_view> refusalOf(int status)
{
    constexpr int overContract = 429;
    constexpr int quarantined = 422;
    constexpr int serverErrors = 500;
    constexpr int timedOut = 504;
    if (status == overContract) {
        return "over_contract";
    }
    if (status == quarantined) {
        return "quarantined";
    }
    if (status >= serverErrors) {
        return status == timedOut ? "timed_out" : "refused";
    }
    return status < 300 ? std::optional<std::string_view>("") : std::nullopt;
}

static leaf::result<callers_path> parseRoute(const http_request &request)
{
    if (request.path.compare(0, servicesPath.size(), servicesPath) != 0) {
        return leaf::new_error(request_error {request_failure::path_unknown, request.path});
    }
    const auto rest = request.path.substr(servicesPath.size());
    const auto slash = rest.find('/');
    const auto action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (slash == 0 || (action != "query" && action != "execute")) {
        return leaf::new_error(request_error {request_failure::path_unknown, request.path});
    }
    if (request.method != "POST") {
        return leaf::new_error(request_error {request_failure::method_not_allowed, request.method});
    }
    return callers_path {{rest.substr(0, slash)}, action == "query" ? verb::query : verb::execute};
}

// A request with this key may have run before through any daemon; only the journal records it. A refusal before
// the journal was asked therefore can't state that an execute request has not run.
static refusal_outcome outcomeBeforeJournal(const http_request &request)
{
    static constexpr std::string_view executeEnd = "/execute";
    const auto key = request.header("idempotency-key");
    const bool mayHaveRun = request.path.ends_with(executeEnd) && key && !key->empty() && key->size() <= maxIdempotencyKeyLength;
    return mayHaveRun ? refusal_outcome::unknown : refusal_outcome::not_run;
}

struct callers_api::implementation
{
    implementation(reactor &eventLoop, services calls, metrics &registry)
        : loop(eventLoop),
          uses(std::move(calls)),
          refused(registry.counter("daisystile_callers_refused_total", "Requests refused before they ran."))
    {
    }

    leaf::result<std::shared_ptr<const contract>> findContract(const std::string &token) const
    {
        const auto digest = sha256Hex(token);
        const auto found = contracts.find(digest);
        if (found == contracts.end() || !equalInConstantTime(found->first, digest)) {
            return leaf::new_error(request_error {request_failure::token_refused, "Authorization"});
        }
        return found->second;
    }

    leaf::result<void> checkService(const callers_path &target, const contract &terms) const
    {
        if (std::find(terms.services.begin(), terms.services.end(), target.service) == terms.services.end()) {
            return leaf::new_error(request_error {request_failure::service_not_allowed, target.service.value});
        }
        const auto entry = view->config->services.find(target.service);
        const auto wanted = target.action == verb::query ? service_kind::query : service_kind::execute;
        if (entry == view->config->services.end() || entry->second->kind != wanted) {
            return leaf::new_error(request_error {request_failure::service_unknown, target.service.value});
        }
        return {};
    }

    leaf::result<checked_call> check(const http_request &request) const
    {
        BOOST_LEAF_AUTO(target, parseRoute(request));
        BOOST_LEAF_AUTO(token, parseBearer(request.header("authorization")));
        BOOST_LEAF_AUTO(terms, findContract(token));
        BOOST_LEAF_CHECK(checkService(target, *terms));
        auto wait = terms->maxWait;
        if (const auto header = request.header("request-timeout")) {
            BOOST_LEAF_AUTO(asked, parseTimeout(*header));
            wait = std::min(wait, asked);
        }
        return checked_call {std::move(target), std::move(terms), wait};
    }

    leaf::result<void> serve(const http_request &request, const http_responder &respond)
    {
        BOOST_LEAF_AUTO(call, check(request));
        auto completedRequest = std::make_shared<completed_request>();
        completedRequest->customer = call.terms->customer;
        const auto recorder = recordingResponder(completedRequest, call.terms, respond);
        const auto outcome = outcomeBeforeJournal(request);
        leaf::try_handle_all([&] { return run(std::move(call), request, completedRequest, recorder); },
            [&](const request_error &error) { refuse(error, outcome, recorder); },
            [&] {
                refuse({request_failure::body_malformed, "request"}, outcome, recorder);
            });
        return {};
    }

    // Records the request's end for the burn report before the response is sent.
    http_responder
    recordingResponder(const shared_completed_request &completedRequest, const std::shared_ptr<const contract> &terms, const http_responder &respond)
    {
        return [this, completedRequest, terms, respond, startedAt = loop.now()](http_response response) {
            const auto refusal = refusalOf(response.status);
            if (refusal && uses.ended) {
                completedRequest->refusal = completedRequest->refusal.empty() ? *refusal : completedRequest->refusal;
                completedRequest->latency = std::chrono::duration_cast<microseconds>(loop.now() - startedAt);
                uses.ended(*completedRequest, *terms);
            }
            respond(std::move(response));
        };
    }

    leaf::result<void> run(checked_call call, const http_request &request, const shared_completed_request &completedRequest, const http_responder &respond)
    {
        if (call.target.action == verb::query) {
            return query(std::move(call), request, completedRequest, respond);
        }
        return execute(std::move(call), request, respond);
    }

    static void recordReply(const search_reply &reply, completed_request &completedRequest)
    {
        completedRequest.shards = reply.shards;
        completedRequest.covered = reply.covered;
        completedRequest.firstAttempts = reply.attempts - reply.extraAttempts;
        completedRequest.extraAttempts = reply.extraAttempts;
        completedRequest.refusal = reply.outcome == query_outcome::too_little_coverage ? "too_little_coverage" : "";
    }

    using admitted_call = std::function<void(milliseconds left, const http_responder &respond)>;

    // Runs the call when the contract admits it and releases it with the response.
    void runWithinContract(const std::shared_ptr<const contract> &terms,
        milliseconds wait,
        refusal_outcome outcome,
        const http_responder &respond,
        admitted_call run)
    {
        if (!uses.admit) {
            run(wait, respond);
            return;
        }
        const auto until = loop.now() + wait;
        uses.admit(terms, wait, [this, terms, until, outcome, respond, run = std::move(run)](const std::optional<admission_refusal> &refusal) {
            if (refusal) {
                respond(toResponse(withOutcome(toProblem(*refusal), outcome)));
                return;
            }
            run(timeLeft(loop.now(), until), [this, terms, respond](http_response response) {
                uses.release(terms->customer);
                respond(std::move(response));
            });
        });
    }

    leaf::result<void> query(checked_call call, const http_request &request, const shared_completed_request &completedRequest, const http_responder &respond)
    {
        BOOST_LEAF_AUTO(body, parseQueryBody(request.body));
        const auto requestFingerprint = fingerprintOf(call.target.service, body);
        const search_request search {call.target.service, call.terms, requestFingerprint, std::move(body), call.wait};
        runWithinContract(
            call.terms, call.wait, refusal_outcome::not_run, respond, [this, search, completedRequest](milliseconds left, const http_responder &answer) {
                runSearch(search, left, completedRequest, answer);
            });
        return {};
    }

    void runSearch(search_request search, milliseconds left, const shared_completed_request &completedRequest, const http_responder &respond)
    {
        search.wait = left;
        const auto service = search.service;
        const auto answer = [completedRequest, respond](const search_reply &reply) {
            recordReply(reply, *completedRequest);
            respond(toResponse(reply));
        };
        if (!uses.search(std::move(search), answer)) {
            refuse({request_failure::service_unknown, service.value}, refusal_outcome::not_run, respond);
        }
    }

    leaf::result<void> execute(checked_call call, const http_request &request, const http_responder &respond)
    {
        const auto key = request.header("idempotency-key").value_or("");
        if (key.empty()) {
            return leaf::new_error(request_error {request_failure::field_missing, "Idempotency-Key"});
        }
        if (key.size() > maxIdempotencyKeyLength) {
            return leaf::new_error(request_error {request_failure::field_invalid, "Idempotency-Key"});
        }
        const auto requestFingerprint = fingerprintOf(call.target.service, request.body);
        const execute_submission submission {call.target.service, call.terms, {key}, requestFingerprint, request.body, call.wait};
        runWithinContract(call.terms, call.wait, refusal_outcome::unknown, respond, [this, submission](milliseconds left, const http_responder &answer) {
            auto admitted = submission;
            admitted.wait = left;
            uses.execute(std::move(admitted), answer);
        });
        return {};
    }

    static problem withOutcome(problem refusal, refusal_outcome outcome)
    {
        refusal.outcome = outcome;
        return refusal;
    }

    void refuse(const request_error &error, refusal_outcome outcome, const http_responder &respond)
    {
        refused.add();
        respond(toResponse(withOutcome(toProblem(error), outcome)));
    }

    void serveOrRefuse(const http_request &request, const http_responder &respond)
    {
        const auto outcome = outcomeBeforeJournal(request);
        if (!view->ready) {
            refused.add();
            respond(toResponse(problem {.status = 503,
                .title = "not ready",
                .detail = "the newest contracts are not known yet",
                .outcome = outcome,
                .retryAfter = notReadyRetryAfter}));
            return;
        }
        leaf::try_handle_all([&] { return serve(request, respond); },
            [&](const request_error &error) { refuse(error, outcome, respond); },
            [&] {
                refuse({request_failure::body_malformed, "request"}, outcome, respond);
            });
    }

    // Returns true if the request was a health check or a metrics request.
    bool serveHealth(const http_request &request, const http_responder &respond)
    {
        if (request.path == "/healthz/live") {
            respond({.status = 200, .body = "{\"live\":true}"});
            return true;
        }
        if (request.path == "/healthz/ready") {
            const bool ready = view->ready && uses.accepting();
            respond({.status = ready ? 200 : 503, .body = ready ? "{\"ready\":true}" : "{\"ready\":false}"});
            return true;
        }
        if (request.path == "/metrics") {
            respond({.status = 200, .body = uses.metricsText(), .contentType = "text/plain; version=0.0.4"});
            return true;
        }
        return false;
    }

    void adoptContracts()
    {
        contracts.clear();
        for (const auto &[customer, terms] : view->config->contracts) {
            for (const auto &digest : terms->tokenDigests) {
                contracts.emplace(digest, terms);
            }
        }
    }

    reactor &loop;
    services uses;
    metric_counter refused;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    // Contracts by token digest.
    std::unordered_map<std::string, std::shared_ptr<const contract>> contracts;
};

callers_api::callers_api(reactor &loop, services uses, metrics &metricRegistry)
    : m_implementation(std::make_unique<implementation>(loop, std::move(uses), metricRegistry))
{
}

callers_api::~callers_api() = default;

void callers_api::setView(std::shared_ptr<const fleet_view> view)
{
    m_implementation->view = std::move(view);
    m_implementation->adoptContracts();
}

void callers_api::handle(http_request request, http_responder respond)
{
    if (!m_implementation->serveHealth(request, respond)) {
        m_implementation->serveOrRefuse(request, respond);
    }
}

} // namespace daisystile
