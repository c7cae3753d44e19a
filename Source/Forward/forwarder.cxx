#include "forwarder.h"

#include "request_answer.h"
#include "request_terms.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusNotFound = 404;
constexpr int statusUnauthorized = 401;
constexpr int statusTooManyRequests = 429;

constexpr milliseconds defaultTimeLeft {10000};

// A proof that the configuration is the newest is usually back by then.
constexpr milliseconds proofWait {500};
// A query over fewer shards costs less to run than to delegate.
constexpr std::size_t minDelegatedParts = 4;
// The daemon to which a part was delegated sends the hedges.
constexpr milliseconds noHedge {86400000};
// How long the slower attempt of a hedged pair may continue, so that its connection can be reused.
constexpr milliseconds hedgeLoserGrace {700};
// How long a cancelled attempt may continue before its connection is closed.
constexpr milliseconds cancelGrace {250};
// Capacity can also become free without the end of an attempt: a cold server may take another request, or a connection is closed.
constexpr milliseconds wakeInterval {50};
// Queued parts tried without finding a server before the rest of the queue is skipped.
constexpr unsigned maxUnplacedPerWake = 4;
constexpr milliseconds versionReportInterval {300};
constexpr double errorAnswerWeight = 0.5;
constexpr double overloadedServerWeight = 0.3;

} // namespace

forwarder::forwarder(reactor &loop, const entry_settings &settings, metrics &registry)
    : m_loop(loop),
      m_settings(settings),
      m_memory(clientMemoryBudget(settings)),
      m_metrics(registry),
      m_pool(loop,
          settings,
          m_memory,
          {.done = [this](attempt_result result) { attemptEnded(std::move(result)); },
              .checkingEnd = [this](attempt_id attempt) { checkingEnd(attempt); },
              .noticed = [this](const server_notice &notice) { countNotice(notice); },
              .limitChanged =
                  [this](limit_change change) {
                      countLimitChange(change);
                  }}),
      m_coordinators(settings),
      m_keyRefusals(registry),
      m_accounts(registry),
      m_quotaKeeper(loop, settings.bounds),
      m_quotas(loop, settings, m_quotaKeeper),
      m_budgets(m_coordinators),
      m_delegations(loop, settings.id, m_metrics),
      m_versions(settings, registry),
      m_guard(loop,
          m_metrics,
          {.resume = [this](const suspect_guard::held_part &part) { resumeHeld(part); },
              .share =
                  [this](std::vector<suspect_record> records) {
                      m_shareSuspects(std::move(records));
                  }}),
      m_random(static_cast<std::minstd_rand::result_type>(stableHash(settings.id.value, 1)))
{
}

void forwarder::update(const std::shared_ptr<const routing_snapshot> &view)
{
    m_view = view;
    m_versions.update(view->versions);
    m_coordinators.update(*view);
    m_pool.update(view, m_coordinators);
    m_delegations.update(*view);
    m_quotaKeeper.update(view->routes);
    m_quotas.update(*view);
    m_guard.learn(*view->suspects, m_settings.id);
    openDelegateLinks();
    updateCapacity();
    updateGauges();
    wakeAll();
    reportVersions();
}

void forwarder::onVersionsCounted(std::function<void(const daemon_counts &)> report)
{
    m_versionsCounted = std::move(report);
}

void forwarder::setVersionsHeardAt(monotonic_time heardAt)
{
    m_versions.setHeardAt(heardAt);
}

void forwarder::reportVersions()
{
    if (m_reportingVersions || !m_versions.counting()) {
        return;
    }
    m_reportingVersions = true;
    m_versionsCounted(m_versions.report(m_attempts, m_loop.now()));
    m_loop.after(versionReportInterval, [this] {
        m_reportingVersions = false;
        reportVersions();
    });
}

void forwarder::openDelegateLinks()
{
    m_delegations.openLinks(m_coordinators.delegates());
    if (!m_coordinators.coordinators().includesSelf) {
        return;
    }
    for (const auto &domain : m_coordinators.remoteDomains()) {
        m_delegations.openLinks(m_coordinators.coordinators().byDomain.at(domain));
    }
}

void forwarder::updateGauges()
{
    const auto servers = m_pool.counts();
    m_metrics.usableServers.set(static_cast<double>(servers.usable));
    m_metrics.coldServers.set(static_cast<double>(servers.cold));
    m_metrics.barredServers.set(static_cast<double>(servers.barred));
    m_metrics.leavingServers.set(static_cast<double>(servers.leaving));
    m_metrics.pausedServers.set(static_cast<double>(servers.paused));
    m_metrics.limitedServers.set(static_cast<double>(servers.limited));
    m_metrics.daemons.set(static_cast<double>(m_view->fleet.size()));
    if (m_view->routes) {
        m_metrics.configurationVersion.set(static_cast<double>(m_view->routes->configuration().version.value));
    }
}

void forwarder::countNotice(const server_notice &notice)
{
    if (notice.leaving) {
        m_metrics.leavingNotices.add();
    }
    if (notice.retryAfter) {
        m_metrics.retryAfterNotices.add();
    }
    if (notice.retryAfterMalformed) {
        m_metrics.malformedNotices.add();
    }
    updateGauges();
}

void forwarder::countLimitChange(limit_change change)
{
    if (change == limit_change::malformed) {
        m_metrics.malformedNotices.add();
    } else if (change == limit_change::began) {
        m_metrics.limitNotices.add();
    }
    updateGauges();
}

void forwarder::updateCapacity()
{
    for (const auto &[service, servers] : m_view->servers->byService) {
        unsigned slots = 0;
        const auto *version = m_versions.mainVersion(service);
        for (const auto &server : servers) {
            const bool counts = m_view->mayServe(server) && (version == nullptr || server.software == *version);
            slots += counts ? server.slots : 0;
        }
        m_queue.setCapacity(service, {slots, static_cast<unsigned>(m_coordinators.sendersOf(service).count)});
    }
}

std::vector<std::pair<suspect_record, milliseconds>> forwarder::quarantined() const
{
    return m_guard.quarantined();
}

bool forwarder::liftQuarantine(const request_digest &request)
{
    return m_guard.lift(request);
}

void forwarder::onSuspectsChanged(std::function<void(std::vector<suspect_record>)> share)
{
    m_shareSuspects = std::move(share);
}

quota_keeper &forwarder::quotaKeeper()
{
    return m_quotaKeeper;
}

quota_client &forwarder::quotas()
{
    return m_quotas;
}

memory_account &forwarder::memory()
{
    return m_memory;
}

bool forwarder::mayStart() const
{
    return mayStartRequest(m_memory.exceeded(), m_requests.size());
}

const std::shared_ptr<const routing_snapshot> &forwarder::view() const
{
    return m_view;
}

void forwarder::setBounds(const fleet_bounds &bounds)
{
    m_settings.bounds = bounds;
    m_versions.setExposureShare(bounds.exposureShare);
    m_pool.setBounds(bounds);
    m_quotaKeeper.setBounds(bounds);
}

request_number forwarder::submit(request_message message, const client_request_head &head, std::function<void(client_reply)> reply)
{
    const auto request = makeRequest(std::move(message), head, std::move(reply));
    return request && authorizeClient(request) ? startWithinQuota(request) : 0;
}

request_number
forwarder::submitDelegated(request_message message, const client_request_head &head, const delegated_terms &terms, std::function<void(client_reply)> reply)
{
    const auto request = makeRequest(std::move(message), head, std::move(reply));
    if (!request) {
        return 0;
    }
    request->peerTerms = terms;
    request->account = terms.account;
    if (const auto *account = terms.account ? m_view->routes->account(*terms.account) : nullptr) {
        request->urgency = account->urgency.value_or(request->urgency);
    }
    request->objective = std::min(request->objective, terms.answerWithin);
    return start(request);
}

void forwarder::setConfigurationNewestAt(monotonic_time askedAt)
{
    m_configurationNewestAt = askedAt;
    m_accounts.setConfigurationAge(std::chrono::duration_cast<milliseconds>(m_loop.now() - askedAt));
}

// The time is read after the request, so that a pause of this process between the two can't make the configuration look newer.
bool forwarder::authorizeClient(const request_pointer &request)
{
    const auto &routes = *request->view->routes;
    if (!routes.keys().keysNeeded()) {
        return true;
    }
    const auto key = readStatedKey(request->message);
    removeStatedIdentity(request->message);
    auto access = authorize(routes, *request->matchedRoute, key, configurationAge(m_settings.bounds, m_configurationNewestAt), m_loop.now());
    if (const auto *reason = std::get_if<key_refusal>(&access)) {
        refuseKey(request, *reason);
        return false;
    }
    auto &granted = std::get<request_access>(access);
    request->account = std::move(granted.account);
    request->urgency = granted.urgency;
    return true;
}

void forwarder::refuseKey(const request_pointer &request, key_refusal reason)
{
    m_keyRefusals.add(reason, request->matchedRoute->name, m_loop.now());
    if (m_configurationNewestAt) {
        m_accounts.setConfigurationAge(std::chrono::duration_cast<milliseconds>(m_loop.now() - *m_configurationNewestAt));
    }
    if (reason != key_refusal::not_current) {
        request->reply(local_reply {statusUnauthorized, std::nullopt});
        return;
    }
    const double draw = std::uniform_real_distribution<>()(m_random);
    request->reply(local_reply {statusUnavailable, clientRetryAfter(timeLeft(m_loop.now(), request->deadline), proofWait, draw)});
}

request_number forwarder::startWithinQuota(const request_pointer &request)
{
    // A client whose request is refused has most of its objective left to try again.
    constexpr int objectiveToWait = 4;
    constexpr milliseconds maxWait {100};
    const auto *account = request->account ? request->view->routes->account(*request->account) : nullptr;
    if (account == nullptr || !account->quota) {
        if (request->account) {
            m_accounts.admitted(*request->account);
        }
        return start(request);
    }
    m_requests.emplace(request->number, request);
    m_quotas.take(account->name, std::min(request->objective / objectiveToWait, maxWait), [this, request](const quota_outcome &outcome) {
        return quotaDecided(request, outcome);
    });
    return request->state.ended ? 0 : request->number;
}

bool forwarder::quotaDecided(const request_pointer &request, const quota_outcome &outcome)
{
    if (!m_requests.contains(request->number)) {
        return false;
    }
    if (outcome.decision == quota_decision::granted) {
        m_accounts.admitted(*request->account);
        start(request);
        return true;
    }
    const bool exceeded = outcome.decision == quota_decision::exceeded;
    logRequestEnd(*request, exceeded ? "over_quota" : "quota_unknown", m_loop.now());
    (exceeded ? m_metrics.overQuota : m_metrics.quotaUnknown).add();
    exceeded ? m_accounts.exceeded(*request->account) : m_accounts.unknown(*request->account);
    m_metrics.refused.add();
    // Clients that are refused together return one after another.
    const double draw = std::uniform_real_distribution<>()(m_random);
    const auto spread = std::chrono::duration_cast<milliseconds>(outcome.retryAfter * draw);
    finish(request, local_reply {exceeded ? statusTooManyRequests : statusUnavailable, outcome.retryAfter + spread});
    return false;
}

forwarder::request_pointer forwarder::makeRequest(request_message message, const client_request_head &head, std::function<void(client_reply)> reply)
{
    if (!m_view->routes) {
        DAISYSTILE_LOG(WARNING, "answer") << "No configuration has been read yet." << field("request", head.id.value);
        reply(local_reply {statusUnavailable, milliseconds {500}});
        return nullptr;
    }
    const auto *matchedRoute = m_view->routes->match(head.host, message.target);
    if (matchedRoute == nullptr) {
        DAISYSTILE_LOG(WARNING, "answer") << "No route matches the request." << field("request", head.id.value) << field("host", head.host)
                                          << field("version", m_view->routes->configuration().version.value);
        reply(local_reply {statusNotFound, std::nullopt});
        return nullptr;
    }
    auto request = std::make_shared<running_request>();
    request->number = m_nextRequest++;
    request->message = std::move(message);
    request->held.emplace(m_memory, memory_kind::request).set(sizeof(running_request) + request->message.reservedBytes());
    request->head = head;
    request->digest = digestOf(normalizedHost(head.host), request->message.method, request->message.target, request->message.body);
    request->view = m_view;
    request->matchedRoute = matchedRoute;
    // The client counts the time for which its request has waited to be read.
    request->received = m_loop.readySince();
    request->deadline = request->received + head.timeLeft.value_or(defaultTimeLeft);
    request->objective = matchedRoute->objective;
    request->urgency = matchedRoute->urgency;
    request->reply = std::move(reply);
    return request;
}

request_number forwarder::start(const request_pointer &request)
{
    m_requests.emplace(request->number, request);
    const auto &matchedRoute = *request->matchedRoute;
    const auto *split = std::get_if<split_target>(&matchedRoute.target);
    request->parts = partsOf(*request, split == nullptr ? 0 : m_roundRobins[matchedRoute.name].next(split->services));
    request->held->add(request->parts.capacity() * sizeof(request_part));
    request->state = beginForward(limitsOf(*request, latencyOf(matchedRoute).typical()));
    if (const auto left = m_guard.refusal(*request)) {
        refuseQuarantined(request, *left);
    } else if (!delegateQuery(request)) {
        runHere(request);
    }
    return request->state.ended ? 0 : request->number;
}

// The client is told the truth about when the request may run again.
void forwarder::refuseQuarantined(const request_pointer &request, milliseconds left)
{
    logRequestEnd(*request, "quarantined", m_loop.now());
    m_metrics.quarantineRefusals.add();
    m_metrics.refused.add();
    finish(request, local_reply {statusUnavailable, left});
}

void forwarder::resumeHeld(const suspect_guard::held_part &part)
{
    if (const auto found = m_requests.find(part.request); found != m_requests.end()) {
        const auto request = found->second;
        step(request, capacity_available {part.part});
    }
}

bool forwarder::delegateQuery(const request_pointer &request)
{
    const auto &delegates = m_coordinators.delegates();
    if (request->peerTerms || delegates.empty() || request->parts.size() < minDelegatedParts) {
        return false;
    }
    request->delegation = m_delegations.start(delegates, *request, {}, [this, request](const daemon_id &delegate, delegation_outcome outcome) {
        delegationEnded(request, delegate, std::move(outcome));
    });
    if (request->delegation == 0) {
        return false;
    }
    request->held->add(request->message.reservedBytes());
    schedule(request);
    return true;
}

void forwarder::delegateParts(const request_pointer &request)
{
    // What was delegated in parts is not delegated again. A suspected request is tried on one server first.
    if (isPartOfQuery(*request) || m_guard.suspected(*request)) {
        return;
    }
    for (const auto &group : m_coordinators.remoteParts(*request->view->routes, request->matchedRoute->name)) {
        const auto &delegates = m_coordinators.coordinators().byDomain.at(group.domain);
        const auto done = [this, request, parts = group.parts](const daemon_id &, delegation_outcome outcome) {
            partsEnded(request, parts, std::move(outcome));
        };
        const auto delegation = m_delegations.start(delegates, *request, group.parts, done);
        if (delegation == 0) {
            continue;
        }
        request->held->add(request->message.reservedBytes());
        request->partDelegations.insert(delegation);
        for (const auto part : group.parts) {
            request->parts[part].delegation = delegation;
        }
    }
}

void forwarder::partsEnded(const request_pointer &request, const std::vector<part_index> &parts, delegation_outcome outcome)
{
    const bool declined = std::holds_alternative<delegation_declined>(outcome);
    auto *reply = std::get_if<client_reply>(&outcome);
    const auto *failure = reply == nullptr ? nullptr : std::get_if<local_reply>(reply);
    const bool notRun = declined || (failure != nullptr && failure->status == statusUnavailable);
    if (reply != nullptr && std::holds_alternative<query_answer>(*reply)) {
        auto &answer = std::get<query_answer>(*reply);
        request->held->add(answer.records.capacity());
        acceptDelegated(*request, parts, std::move(answer));
    }
    for (const auto index : parts) {
        auto &part = request->parts[index];
        request->partDelegations.erase(std::exchange(part.delegation, 0));
        const bool answered = !part.signature.value.empty();
        part.exhausted = !notRun && !answered;
        // Servers may have rejected the part, so a further attempt is extra load.
        part.arrivals += declined ? 0 : 1;
        step(request, attempt_ended {index, answered ? attempt_end::answered : notRun ? attempt_end::not_run : attempt_end::failed});
    }
}

void forwarder::delegationEnded(const request_pointer &request, const daemon_id &delegate, delegation_outcome outcome)
{
    request->delegation = 0;
    if (std::holds_alternative<delegation_declined>(outcome)) {
        runHere(request);
        return;
    }
    auto *reply = std::get_if<client_reply>(&outcome);
    const bool answered = reply != nullptr && std::holds_alternative<query_answer>(*reply);
    m_metrics.latency.observe(std::chrono::duration_cast<microseconds>(m_loop.now() - request->received));
    logDelegatedEnd(*request, delegate, answered ? "answered" : reply == nullptr ? "lost" : "failed", m_loop.now());
    finish(request, reply == nullptr ? client_reply(local_reply {statusBadGateway, std::nullopt}) : std::move(*reply));
}

void forwarder::runHere(const request_pointer &request)
{
    if (!admit(request)) {
        return;
    }
    delegateParts(request);
    step(request, forward_begun {});
}

bool forwarder::admit(const request_pointer &request)
{
    admission_request terms;
    for (const auto &part : request->parts) {
        terms.services.push_back(part.service);
    }
    // The daemon that delegates parts has use for any of them.
    terms.minServices = isPartOfQuery(*request) ? 1 : request->state.terms.minParts;
    terms.urgency = request->urgency;
    terms.draw = std::uniform_real_distribution<>()(m_random);
    terms.demand = demandOf(*request);
    const auto now = m_loop.now();
    terms.maxWait = timeLeft(now, request->state.terms.latestStart);
    if (request->view->routes->keys().keysNeeded()) {
        m_queue.addDemand(terms, now);
    }
    const auto forecast = m_queue.forecastAdmission(terms, now);
    request->forecastWait = forecast.wait;
    if (!forecast.inTime) {
        fail(request, forward_failure::not_run);
    }
    return forecast.inTime;
}

account_demand forwarder::demandOf(const running_request &request)
{
    const auto *account = request.account ? request.view->routes->account(*request.account) : nullptr;
    const double weight = account != nullptr && account->quota ? account->quota->rate : 0;
    const auto typical = std::chrono::duration<double, std::milli>(latencyOf(*request.matchedRoute).typical());
    return {request.account, weight, std::max(typical.count(), 1.0)};
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
    if (part.delegation != 0) {
        return attempt_started {action.part, action.purpose, noHedge};
    }
    if (part.exhausted) {
        return attempt_denied {action.part, action.purpose};
    }
    if (part.checkingEnd && action.purpose == attempt_purpose::hedge) {
        return attempt_denied {action.part, action.purpose};
    }
    const auto permission = m_guard.permission(request->digest, part.service);
    if (permission != run_permission::run) {
        if (permission == run_permission::quarantined || action.purpose == attempt_purpose::hedge) {
            return attempt_denied {action.part, action.purpose};
        }
        if (permission == run_permission::wait) {
            m_guard.hold(request->digest, {request->number, action.part});
            return no_server_available {action.part, action.purpose};
        }
    }
    auto &latencyStats = latencyOf(*request->matchedRoute);
    const auto now = m_loop.now();
    const auto left = std::chrono::duration_cast<milliseconds>(std::min(request->deadline, request->received + request->matchedRoute->timeout) - now);
    const bool hedge = action.purpose == attempt_purpose::hedge;
    // Queueing helps only if an untried server may take the part in time.
    const auto versions = m_versions.admitted(part, now);
    const auto availableFrom = m_pool.availableFrom(part.service, part.tried, now, versions.otherwise == nullptr ? versions.first : versions.otherwise);
    if (!hedge && (left.count() <= 0 || availableFrom > std::max(now, request->state.terms.latestStart))) {
        addForecastWait(*request, availableFrom, now);
        return attempt_denied {action.part, action.purpose};
    }
    const bool room = left.count() > 0 && m_queue.hasRoom(part.service, action.purpose, now);
    auto *server = room ? chooseServer(part, versions, latencyStats.typical()) : nullptr;
    if (server == nullptr) {
        return waitForServer(*request, action);
    }
    if (!allowed(*request, action)) {
        m_metrics.denied.add();
        return attempt_denied {action.part, action.purpose};
    }
    if (part.arrivals == 0 && part.tried.empty()) {
        budgetFor(part.service).addRequest(now);
    }
    const bool bodyless = request->message.method == "HEAD";
    auto bytes = serverRequest(request->message, left, server->entry.id, request->account);
    const auto id = m_pool.send(*server, request->head.id, std::move(bytes), bodyless, latencyStats.hedgeDelay());
    running_attempt attempt {request->number, action.part, server->entry.id, request->matchedRoute->name, part.service, now, request->head.id, request->digest};
    m_versions.sent(attempt, server->entry);
    m_attempts.emplace(id, std::move(attempt));
    if (permission == run_permission::trial) {
        m_guard.trialStarted(request->digest, id);
    }
    m_queue.started(part.service, id, now, request->objective);
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

backend *forwarder::chooseServer(const request_part &part, const admitted_versions &versions, microseconds typicalLatency)
{
    auto *server = m_pool.choose(part.service, part.tried, typicalLatency, versions.first);
    return server == nullptr && versions.otherwise != nullptr ? m_pool.choose(part.service, part.tried, typicalLatency, versions.otherwise) : server;
}

// All servers have asked for a pause, so a client that is refused must not return before one of them accepts requests.
void forwarder::addForecastWait(running_request &request, monotonic_time availableFrom, monotonic_time now)
{
    if (availableFrom != monotonic_time::max()) {
        request.forecastWait = std::max(request.forecastWait, std::chrono::ceil<milliseconds>(availableFrom - now));
    }
}

forward_event forwarder::waitForServer(running_request &request, const start_attempt &action)
{
    if (action.purpose != attempt_purpose::hedge) {
        auto &part = request.parts[action.part];
        part.waitingSince = part.waitingSince.value_or(m_loop.now());
        request.waited = true;
        m_unplaced.push_back({part.service, request.urgency, {request.number, action.part, *part.waitingSince}});
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
    finish(request, mergedAnswer(*request, *shards));
}

void forwarder::fail(const request_pointer &request, forward_failure failure)
{
    if (request->delegation != 0) {
        failDelegated(request);
        return;
    }
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
        const double draw = std::uniform_real_distribution<>()(m_random);
        finish(request, local_reply {statusUnavailable, clientRetryAfter(timeLeft(m_loop.now(), request->deadline), request->forecastWait, draw)});
        return;
    }
    const bool late = failure == forward_failure::timed_out;
    (late ? m_metrics.timedOut : m_metrics.failed).add();
    finish(request, local_reply {late ? statusGatewayTimeout : statusBadGateway, std::nullopt});
}

// The other daemon has not answered by the timeout, and it may have run the query.
void forwarder::failDelegated(const request_pointer &request)
{
    logDelegatedEnd(*request, m_delegations.delegateOf(request->delegation), "timed_out", m_loop.now());
    m_metrics.timedOut.add();
    finish(request, local_reply {statusGatewayTimeout, std::nullopt});
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
    m_delegations.cancel(std::exchange(request.delegation, 0));
    for (const auto delegation : std::exchange(request.partDelegations, {})) {
        m_delegations.cancel(delegation);
    }
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
        m_pool.failed(attempt.server, id, broken->localShortage ? 0 : 1);
        return broken->mayHaveRun ? attempt_end::failed : attempt_end::unreached;
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

// The request may have ended the server, so no other server gets it before that is known.
void forwarder::checkingEnd(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    const auto entry = found == m_attempts.end() ? m_requests.end() : m_requests.find(found->second.request);
    if (entry != m_requests.end()) {
        entry->second->parts[found->second.part].checkingEnd = true;
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
    m_guard.attemptEnded(attempt, result.attempt, result.exchange);
    m_versions.ended(attempt, result.exchange, m_loop.now());
    const auto end = evaluateAttempt(attempt, result.attempt, result.exchange);
    if (end != attempt_end::answered) {
        logAttemptFailure(attempt, end, result.exchange, m_requests.contains(attempt.request), m_loop.now());
    }
    // Before a part that has lost its server is tried again, so that the next trial is run by a server of another shard.
    m_guard.resume(attempt.digest);
    const auto entry = m_requests.find(attempt.request);
    if (entry != m_requests.end()) {
        const auto request = entry->second;
        request->attempts.erase(result.attempt);
        auto *exchange = std::get_if<exchange_answer>(&result.exchange);
        auto &part = request->parts[attempt.part];
        part.checkingEnd = false;
        if (exchange != nullptr) {
            request->held->add(exchange->message.body.capacity());
            acceptAnswer(*request, attempt.part, *exchange);
        } else if ((end == attempt_end::not_run || end == attempt_end::unreached) && part.arrivals > 0) {
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
    return m_budgets.of(service, m_settings.bounds);
}

} // namespace daisystile
