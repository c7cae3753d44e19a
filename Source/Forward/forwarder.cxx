#include "forwarder.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusNotFound = 404;

// Allows for the transfer to the client and for scheduling delays on the machine.
constexpr milliseconds answerMargin {12};
constexpr milliseconds giveUpMargin {20};
constexpr milliseconds defaultTimeLeft {10000};

// The sum of the daemons' budgets must stay below the fleet's limit while the fleet's size changes.
constexpr double usableRatio = 0.9;
constexpr double usableSlack = 0.8;
constexpr double hedgeReserveShare = 0.3;

// How long the slower attempt of a hedged pair may continue, so that its connection can be reused.
constexpr milliseconds hedgeLoserGrace {700};
// How long a cancelled attempt may continue before its connection is closed.
constexpr milliseconds cancelGrace {250};
// Capacity can also become free without the end of an attempt: a cold server may take another request, or a connection is closed.
constexpr milliseconds wakeInterval {50};
// Queued parts tried without finding a server before the rest of the queue is skipped.
constexpr unsigned maxUnplacedPerWake = 4;
constexpr double errorAnswerWeight = 0.5;
constexpr double overloadedServerWeight = 0.3;

} // namespace

forwarder::forwarder(reactor &loop, const entry_settings &settings, metrics &registry)
    : m_loop(loop),
      m_settings(settings),
      m_pool(loop, settings, [this](attempt_result result) { attemptEnded(std::move(result)); }),
      m_metrics(registry),
      m_random(static_cast<std::minstd_rand::result_type>(stableHash(settings.id.value, 1)))
{
}

void forwarder::update(const std::shared_ptr<const routing_snapshot> &view)
{
    m_view = view;
    m_pool.update(view);
    updateCapacity();
    updateGauges();
    wakeAll();
}

void forwarder::updateGauges()
{
    const auto servers = m_pool.counts();
    m_metrics.usableServers.set(static_cast<double>(servers.usable));
    m_metrics.coldServers.set(static_cast<double>(servers.cold));
    m_metrics.barredServers.set(static_cast<double>(servers.barred));
    m_metrics.daemons.set(static_cast<double>(m_view->fleet.size()));
    if (m_view->routes) {
        m_metrics.configurationVersion.set(static_cast<double>(m_view->routes->configuration().version.value));
    }
}

void forwarder::updateCapacity()
{
    const auto daemons = static_cast<unsigned>(m_view->sharingDaemons());
    for (const auto &[service, servers] : m_view->servers->byService) {
        unsigned slots = 0;
        for (const auto &server : servers) {
            slots += m_view->mayServe(server) ? server.slots : 0;
        }
        m_queue.setCapacity(service, {slots, daemons});
    }
}

const std::shared_ptr<const routing_snapshot> &forwarder::view() const
{
    return m_view;
}

void forwarder::setBounds(const fleet_bounds &bounds)
{
    m_settings.bounds = bounds;
    m_pool.setBounds(bounds);
}

request_number forwarder::submit(request_message message, const client_request_head &head, std::function<void(client_reply)> reply)
{
    if (!m_view->routes) {
        DAISYSTILE_LOG(WARNING, "answer") << "No configuration has been read yet." << field("request", head.id.value);
        reply(local_reply {statusUnavailable, milliseconds {500}});
        return 0;
    }
    const auto *matchedRoute = m_view->routes->match(head.host, message.target);
    if (matchedRoute == nullptr) {
        DAISYSTILE_LOG(WARNING, "answer") << "No route matches the request." << field("request", head.id.value) << field("host", head.host)
                                          << field("version", m_view->routes->configuration().version.value);
        reply(local_reply {statusNotFound, std::nullopt});
        return 0;
    }
    auto request = std::make_shared<running_request>();
    request->number = m_nextRequest++;
    request->message = std::move(message);
    request->head = head;
    request->view = m_view;
    request->matchedRoute = matchedRoute;
    request->received = m_loop.now();
    request->reply = std::move(reply);
    m_requests.emplace(request->number, request);
    begin(request);
    return request->state.ended ? 0 : request->number;
}

void forwarder::begin(const request_pointer &request)
{
    const auto &matchedRoute = *request->matchedRoute;
    forward_limits terms;
    terms.retryPolicy = matchedRoute.retryPolicy;
    terms.maxAttempts = matchedRoute.maxAttempts;
    if (const auto *shards = std::get_if<shards_target>(&matchedRoute.target)) {
        for (const auto &service : shards->shards) {
            request->parts.push_back({.service = service});
        }
        terms.parts = request->parts.size();
        const double least = std::ceil(shards->minShare * static_cast<double>(terms.parts) - 1e-9);
        terms.minParts = std::max<std::size_t>(1, static_cast<std::size_t>(least));
        terms.retryPolicy = retry_policy::idempotent;
    } else if (const auto *split = std::get_if<split_target>(&matchedRoute.target)) {
        request->parts.push_back({.service = split->services[m_roundRobins[matchedRoute.name].next(split->services)].service});
    } else {
        request->parts.push_back({.service = std::get<single_target>(matchedRoute.target).service});
    }
    const auto left = request->head.timeLeft.value_or(defaultTimeLeft);
    request->deadline = request->received + left;
    terms.timeoutAt = request->received + std::min(left - giveUpMargin, matchedRoute.timeout);
    terms.partialAnswerAt = std::min(request->received + matchedRoute.objective - answerMargin, terms.timeoutAt);
    const auto usual = std::chrono::duration_cast<milliseconds>(latencyOf(matchedRoute).typical());
    terms.latestStart = std::max(request->received, terms.partialAnswerAt - usual);
    request->state = beginForward(terms);
    if (!admit(request)) {
        return;
    }
    for (const auto &each : request->parts) {
        budgetFor(each.service).addRequest(request->received);
    }
    step(request, forward_begun {});
}

bool forwarder::admit(const request_pointer &request)
{
    admission_request terms;
    for (const auto &part : request->parts) {
        terms.services.push_back(part.service);
    }
    terms.minServices = request->state.terms.minParts;
    terms.urgency = request->matchedRoute->urgency;
    terms.draw = std::uniform_real_distribution<>()(m_random);
    terms.maxWait = std::chrono::duration_cast<milliseconds>(request->state.terms.latestStart - request->received);
    const auto forecast = m_queue.forecastAdmission(terms, request->received);
    request->forecastWait = forecast.wait;
    if (!forecast.inTime) {
        fail(request, forward_failure::not_run);
    }
    return forecast.inTime;
}

void forwarder::step(const request_pointer &request, const forward_event &event)
{
    std::deque<forward_event> events {event};
    while (!events.empty() && !request->state.ended) {
        forward_actions actions;
        decide(request->state, events.front(), m_loop.now(), actions);
        events.pop_front();
        for (const auto &action : actions) {
            perform(request, action, events);
        }
    }
    if (!request->state.ended) {
        schedule(request);
    }
    enqueueUnplaced();
}

void forwarder::perform(const request_pointer &request, const forward_action &action, std::deque<forward_event> &events)
{
    if (const auto *attempt = std::get_if<start_attempt>(&action)) {
        events.push_back(startAttempt(request, *attempt));
    } else if (const auto *failure = std::get_if<fail_request>(&action)) {
        fail(request, failure->failure);
    } else {
        answer(request);
    }
}

bool forwarder::allowed(const running_request &request, const start_attempt &action)
{
    const auto &part = request.parts[action.part];
    // An attempt is not extra load if no earlier one reached a server.
    if (part.arrivals == 0) {
        return true;
    }
    auto &budget = budgetFor(part.service);
    return action.purpose == attempt_purpose::hedge ? budget.takeForHedge(m_loop.now()) : budget.take(m_loop.now());
}

// All attempts start here: the server, the time left and the retry budget are checked right before the request is sent.
forward_event forwarder::startAttempt(const request_pointer &request, const start_attempt &action)
{
    auto &part = request->parts[action.part];
    auto &latencyStats = latencyOf(*request->matchedRoute);
    const auto now = m_loop.now();
    const auto left = std::chrono::duration_cast<milliseconds>(std::min(request->deadline, request->received + request->matchedRoute->timeout) - now);
    const bool hedge = action.purpose == attempt_purpose::hedge;
    // Queueing helps only if there is an untried server that may become free.
    if (!hedge && (left.count() <= 0 || !m_pool.hasServer(part.service, part.tried))) {
        return attempt_denied {action.part, action.purpose};
    }
    const bool room = left.count() > 0 && m_queue.hasRoom(part.service, action.purpose, now);
    auto *server = room ? m_pool.choose(part.service, part.tried, latencyStats.typical()) : nullptr;
    if (server == nullptr) {
        return waitForServer(*request, action);
    }
    if (!allowed(*request, action)) {
        m_metrics.denied.add();
        return attempt_denied {action.part, action.purpose};
    }
    const bool bodyless = request->message.method == "HEAD";
    auto bytes = serverRequest(request->message, left, server->entry.id);
    const auto id = m_pool.send(*server, request->head.id, std::move(bytes), bodyless, latencyStats.hedgeDelay());
    m_attempts.emplace(id, running_attempt {request->number, action.part, server->entry.id, request->matchedRoute->name, part.service, now, request->head.id});
    m_queue.started(part.service, id, now, request->matchedRoute->objective);
    part.waitingSince.reset();
    request->attemptsMade += 1;
    request->attempts.insert(id);
    part.tried.push_back(server->entry.id);
    part.arrivals += 1;
    (action.purpose == attempt_purpose::first          ? m_metrics.firstAttempts
            : action.purpose == attempt_purpose::retry ? m_metrics.retries
                                                       : m_metrics.hedges)
        .add();
    return attempt_started {action.part, action.purpose, latencyStats.hedgeDelay()};
}

forward_event forwarder::waitForServer(running_request &request, const start_attempt &action)
{
    if (action.purpose != attempt_purpose::hedge) {
        auto &part = request.parts[action.part];
        part.waitingSince = part.waitingSince.value_or(m_loop.now());
        request.waited = true;
        m_unplaced.push_back({part.service, request.matchedRoute->urgency, {request.number, action.part, *part.waitingSince}});
        scheduleWake();
    }
    return no_server_available {action.part, action.purpose};
}

void forwarder::schedule(const request_pointer &request)
{
    const auto next = nextTimer(request->state);
    if (request->timer != 0 && request->timerAt <= next) {
        return;
    }
    m_loop.cancelTimer(request->timer);
    request->timerAt = next;
    request->timer = m_loop.after(timeLeft(m_loop.now(), next) + milliseconds {1}, [this, weak = std::weak_ptr(request)] {
        const auto running = weak.lock();
        if (running && !running->state.ended) {
            running->timer = 0;
            running->timerAt = monotonic_time::max();
            step(running, timer_expired {});
        }
    });
}

void forwarder::answer(const request_pointer &request)
{
    const bool complete = request->state.answered == request->state.terms.parts;
    logRequestEnd(*request, complete ? "complete" : "partial", m_loop.now());
    const auto now = m_loop.now();
    m_metrics.latency.observe(std::chrono::duration_cast<microseconds>(now - request->received));
    (complete ? m_metrics.complete : m_metrics.partial).add();
    const auto *shards = std::get_if<shards_target>(&request->matchedRoute->target);
    if (shards == nullptr) {
        finish(request, std::move(*request->answer));
        return;
    }
    query_answer reply;
    std::vector<std::string_view> bodies;
    for (const auto &part : request->parts) {
        if (!part.signature.value.empty()) {
            reply.signatures.push_back(part.signature);
            bodies.emplace_back(part.body);
        }
    }
    reply.missingParts = request->parts.size() - reply.signatures.size();
    reply.records = greatestRecords(bodies, shards->topRecords);
    finish(request, std::move(reply));
}

void forwarder::fail(const request_pointer &request, forward_failure failure)
{
    const bool relayed = request->answer.has_value();
    const char *outcome = relayed               ? "server_failure"
        : failure == forward_failure::not_run   ? "not_run"
        : failure == forward_failure::timed_out ? "timed_out"
                                                : "failed";
    logRequestEnd(*request, outcome, m_loop.now());
    // A failure response from the server itself is passed to the client.
    if (relayed) {
        m_metrics.failed.add();
        finish(request, std::move(*request->answer));
        return;
    }
    if (failure == forward_failure::not_run) {
        m_metrics.refused.add();
        finish(request, local_reply {statusUnavailable, retryAfter(*request)});
        return;
    }
    const bool late = failure == forward_failure::timed_out;
    (late ? m_metrics.timedOut : m_metrics.failed).add();
    finish(request, local_reply {late ? statusGatewayTimeout : statusBadGateway, std::nullopt});
}

// Not before the forecast time of free capacity, and randomized, so that clients that were refused together don't retry
// together. Clients wait at most a third of their remaining time.
milliseconds forwarder::retryAfter(const running_request &request)
{
    constexpr milliseconds shortest {50};
    constexpr int partOfTimeLeft = 8;
    const auto left = timeLeft(m_loop.now(), request.deadline);
    const auto earliest = std::min(std::max(left / partOfTimeLeft, request.forecastWait), left / 4);
    std::uniform_int_distribution<milliseconds::rep> spread(earliest.count(), std::max(left / 3, earliest).count());
    return std::max(shortest, milliseconds {spread(m_random)});
}

void forwarder::finish(const request_pointer &request, client_reply reply)
{
    release(*request, hedgeLoserGrace);
    request->reply(std::move(reply));
}

void forwarder::release(running_request &request, milliseconds grace)
{
    request.state.ended = true;
    m_loop.cancelTimer(request.timer);
    abandonAttempts(request, grace);
    if (request.waited) {
        m_queue.removeRequest(request.number);
    }
    m_requests.erase(request.number);
}

void forwarder::abandonAttempts(running_request &request, milliseconds grace)
{
    const auto until = m_loop.now() + grace;
    for (const auto id : request.attempts) {
        m_pool.abandon(id, until);
    }
}

void forwarder::clientLeft(request_number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end()) {
        return;
    }
    const auto request = found->second;
    m_metrics.clientsGone.add();
    logRequestEnd(*request, "client_gone", m_loop.now());
    release(*request, request->state.terms.retryPolicy == retry_policy::idempotent ? cancelGrace : timeLeft(m_loop.now(), request->deadline));
}

attempt_end forwarder::evaluateAttempt(const running_attempt &attempt, attempt_id id, exchange_result &exchange)
{
    if (const auto *broken = std::get_if<exchange_broken>(&exchange)) {
        m_pool.failed(attempt.server, id, 1);
        return broken->mayHaveRun ? attempt_end::failed : attempt_end::not_run;
    }
    const auto &answer = std::get<exchange_answer>(exchange).answer;
    switch (answer.verdict) {
    case answer_verdict::success: {
        const auto latency = std::chrono::duration_cast<microseconds>(m_loop.now() - attempt.sent);
        auto &latencyStats = m_latencies.at(attempt.route);
        m_pool.answered(attempt.server, id, latencyStats.typical());
        latencyStats.add(latency);
        return attempt_end::answered;
    }
    case answer_verdict::not_executed:
        m_pool.failed(attempt.server, id, overloadedServerWeight);
        return attempt_end::not_run;
    case answer_verdict::wrong_server:
        m_pool.failed(attempt.server, id, 1);
        m_pool.misdirected(attempt.server);
        return attempt_end::not_run;
    default:
        m_pool.failed(attempt.server, id, errorAnswerWeight);
        return attempt_end::failed;
    }
}

void forwarder::accept(running_request &request, part_index index, exchange_answer &exchange)
{
    if (std::holds_alternative<shards_target>(request.matchedRoute->target)) {
        auto &part = request.parts[index];
        if (exchange.answer.verdict == answer_verdict::success && part.signature.value.empty()) {
            part.signature = exchange.answer.signature;
            part.body = std::move(exchange.message.body);
        }
        return;
    }
    const bool relayable = exchange.answer.verdict == answer_verdict::success || exchange.answer.verdict == answer_verdict::failure;
    // These statuses would tell the client that the request has not run.
    const bool impliesNotRun = exchange.message.status == statusUnavailable || exchange.message.status == 429 || exchange.message.status == 408;
    if (relayable && !(impliesNotRun && exchange.answer.verdict == answer_verdict::failure)) {
        request.answer = std::move(exchange.message);
    }
}

void forwarder::attemptEnded(attempt_result result)
{
    const auto found = m_attempts.find(result.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const auto attempt = found->second;
    m_attempts.erase(found);
    m_queue.ended(attempt.service, result.attempt, m_loop.now());
    const auto end = evaluateAttempt(attempt, result.attempt, result.exchange);
    if (end != attempt_end::answered) {
        logAttemptFailure(attempt, end, result.exchange, m_requests.contains(attempt.request), m_loop.now());
    }
    const auto entry = m_requests.find(attempt.request);
    if (entry != m_requests.end()) {
        const auto request = entry->second;
        request->attempts.erase(result.attempt);
        auto *exchange = std::get_if<exchange_answer>(&result.exchange);
        auto &part = request->parts[attempt.part];
        if (exchange != nullptr) {
            accept(*request, attempt.part, *exchange);
        } else if (end == attempt_end::not_run && part.arrivals > 0) {
            part.arrivals -= 1;
        }
        step(request, attempt_ended {attempt.part, end});
    }
    wake(attempt.service);
}

// A part that no server can take now must not block those behind it, so it is enqueued again only after they were tried.
void forwarder::wake(const service_name &service)
{
    m_waking += 1;
    for (unsigned unplaced = 0; unplaced < maxUnplacedPerWake;) {
        const auto next = m_queue.next(service, m_loop.now());
        if (!next) {
            break;
        }
        const auto found = m_requests.find(next->request);
        if (found == m_requests.end()) {
            continue;
        }
        const auto request = found->second;
        step(request, capacity_available {next->part});
        unplaced += !request->state.ended && request->state.parts[next->part].waiting ? 1 : 0;
    }
    m_waking -= 1;
    enqueueUnplaced();
}

void forwarder::enqueueUnplaced()
{
    if (m_waking > 0) {
        return;
    }
    for (const auto &part : std::exchange(m_unplaced, {})) {
        if (m_requests.contains(part.waiting.request)) {
            m_queue.wait(part.service, part.urgency, part.waiting);
        }
    }
}

void forwarder::wakeAll()
{
    for (const auto &service : m_queue.servicesWithWaiting()) {
        wake(service);
    }
}

void forwarder::scheduleWake()
{
    if (m_wakeScheduled) {
        return;
    }
    m_wakeScheduled = true;
    m_loop.after(wakeInterval, [this] {
        m_wakeScheduled = false;
        wakeAll();
        m_metrics.waiting.set(static_cast<double>(m_queue.waiting()));
        if (m_queue.waiting() > 0) {
            scheduleWake();
        }
    });
}

route_latency &forwarder::latencyOf(const route &matchedRoute)
{
    auto &latencyStats = m_latencies[matchedRoute.name];
    latencyStats.setObjective(matchedRoute.objective);
    return latencyStats;
}

retry_budget &forwarder::budgetFor(const service_name &service)
{
    const auto &bounds = m_settings.bounds;
    const double share = bounds.retrySlack * usableSlack / static_cast<double>(m_view->sharingDaemons());
    const retry_budget_limits terms {
        .window = bounds.retryWindow, .ratio = bounds.retryRatio * usableRatio, .slack = share, .hedgeReserve = share * hedgeReserveShare};
    const auto [found, isNew] = m_budgets.try_emplace(service, terms);
    if (!isNew) {
        found->second.setTerms(terms);
    }
    return found->second;
}

} // namespace daisystile
