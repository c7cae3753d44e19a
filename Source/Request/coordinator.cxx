#include "coordinator.h"

#include "query_decision.h"
#include "serving_table.h"

#include <deque>
#include <unordered_map>

namespace daisystile {

namespace {

struct sent_attempt
{
    shard_index shard;
    attempt_number attempt;
    server_number server;
    peer_number peer;
};

struct active_query
{
    search_request request;
    query_plan plan;
    /// The keeper of the request waits for the result of its trial.
    bool onTrial = false;
    std::shared_ptr<served_service> service;
    query_state state;
    std::vector<sent_attempt> sent;
    timer_id timer = 0;
    search_callback done;
};

struct queued_event
{
    query_number query;
    query_event event;
};

struct coordinator_metrics
{
    metric_counter queries;
    metric_counter attempts;
    metric_counter extraAttempts;
    metric_counter restarts;
    metric_counter late;
    metric_counter foreign;
    metric_counter mixed;
    metric_counter quarantined;
    metric_histogram latency;
};

coordinator_metrics makeMetrics(metrics &metricRegistry)
{
    static const std::string droppedName = "daisystile_answers_dropped_total";
    static const std::string droppedHelp = "Shard answers that did not count.";
    return {
        .queries = metricRegistry.counter("daisystile_queries_total", "Queries answered."),
        .attempts = metricRegistry.counter("daisystile_shard_attempts_total", "Shard requests sent, hedges and retries included."),
        .extraAttempts = metricRegistry.counter("daisystile_shard_extra_attempts_total", "Hedges and retries sent."),
        .restarts = metricRegistry.counter("daisystile_query_restarts_total", "Queries started again on another snapshot or shard map."),
        .late = metricRegistry.counter(droppedName, droppedHelp, {{"reason", "late"}}),
        .foreign = metricRegistry.counter(droppedName, droppedHelp, {{"reason", "foreign"}}),
        .mixed = metricRegistry.counter(droppedName, droppedHelp, {{"reason", "mixed"}}),
        .quarantined = metricRegistry.counter("daisystile_queries_quarantined_total", "Queries refused because their request lost servers."),
        .latency = metricRegistry.histogram("daisystile_query_seconds", "Time from a query's start to its answer."),
    };
}

} // namespace

struct coordinator::implementation
{
    implementation(reactor &eventLoop, identity own, transport out, policies chosen, metrics &registry)
        : loop(eventLoop),
          self(std::move(own)),
          transportOut(std::move(out)),
          policy(chosen),
          counters(makeMetrics(registry)),
          selfNumber(peers.numberOf(self.id)),
          guard(eventLoop, self.id, transportOut.send, registry)
    {
    }

    // Events that arrive while another is handled are queued, since a local owner may answer synchronously.
    void dispatch(query_number query, query_event event)
    {
        waiting.push_back({query, std::move(event)});
        if (dispatching) {
            return;
        }
        dispatching = true;
        while (!waiting.empty()) {
            auto next = std::move(waiting.front());
            waiting.pop_front();
            handle(next.query, std::move(next.event));
        }
        dispatching = false;
    }

    void handle(query_number number, query_event event)
    {
        const auto found = queries.find(number);
        if (found == queries.end()) {
            counters.late.add();
            return;
        }
        auto &query = *found->second;
        actions.clear();
        auto &budget = query.service->budgets[query.request.terms->customer];
        decide(query.state, query.service->serving, budget, std::move(event), loop.now(), actions);
        perform(query);
    }

    void perform(active_query &query)
    {
        batches.clear();
        cancels.clear();
        std::optional<answer_caller> answer;
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<send_attempt>(&action)) {
                addAttempt(query, *send);
            } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
                addCancel(query, *cancel);
            } else if (const auto *timer = std::get_if<set_timer>(&action)) {
                setTimer(query, timer->at);
            } else if (const auto *crash = std::get_if<report_crash>(&action)) {
                askAboutCrash(query, *crash);
            } else if (std::holds_alternative<report_trial_passed>(action)) {
                reportTrialPassed(query);
            } else if (const auto *last = std::get_if<answer_caller>(&action)) {
                answer = *last;
            }
        }
        sendCancels(query);
        sendBatches(query);
        if (answer) {
            finish(query, answer->outcome);
        }
    }

    peer_number ownerOf(const active_query &query, server_number server) const
    {
        const auto &owners = query.service->owners;
        return server.value < owners.size() ? owners[server.value] : noPeer;
    }

    void addAttempt(active_query &query, const send_attempt &send)
    {
        const auto owner = ownerOf(query, send.server);
        const auto &name = query.service->serving.loads.idOf(send.server);
        if (owner == noPeer) {
            failLocally(query, {send.shard, send.attempt, name}, attempt_failure::domain_out);
            return;
        }
        query.sent.push_back({send.shard, send.attempt, send.server, owner});
        attemptsFor(owner, batches).push_back({send.shard, send.attempt, name});
    }

    void addCancel(active_query &query, const cancel_attempt &cancel)
    {
        const auto matches = [&cancel](const sent_attempt &sent) {
            return sent.shard == cancel.shard && sent.attempt == cancel.attempt;
        };
        const auto found = std::find_if(query.sent.rbegin(), query.sent.rend(), matches);
        if (found != query.sent.rend()) {
            attemptsFor(found->peer, cancels).push_back({cancel.shard, cancel.attempt, query.service->serving.loads.idOf(cancel.server)});
        }
    }

    using attempts_by_peer = std::vector<std::pair<peer_number, std::vector<shard_attempt>>>;

    static std::vector<shard_attempt> &attemptsFor(peer_number peer, attempts_by_peer &all)
    {
        const auto found = std::find_if(all.begin(), all.end(), [peer](const auto &entry) { return entry.first == peer; });
        if (found != all.end()) {
            return found->second;
        }
        return all.emplace_back(peer, std::vector<shard_attempt>()).second;
    }

    void sendBatches(active_query &query)
    {
        if (batches.empty()) {
            return;
        }
        search_batch batch;
        batch.query = query.state.query;
        batch.service = query.request.service;
        batch.customer = query.request.terms->customer;
        batch.rank = query.request.terms->rank;
        batch.snapshot = query.state.snapshot;
        batch.mapVersion = query.state.index->catalogue->mapVersion;
        batch.deadlineMs = static_cast<std::uint32_t>(timeLeft(loop.now(), query.state.answerDeadline).count());
        batch.request = query.request.request;
        batch.body = query.request.body;
        for (auto &[peer, attempts] : batches) {
            batch.attempts = std::move(attempts);
            sendBatch(query, peer, batch);
        }
    }

    void sendBatch(active_query &query, peer_number peer, search_batch &batch)
    {
        if (peer == selfNumber) {
            transportOut.searchHere(batch);
            return;
        }
        peer_message message(std::move(batch));
        const bool left = transportOut.send(peers.idOf(peer), message);
        batch = std::move(std::get<search_batch>(message));
        if (!left) {
            waiting.push_back({query.state.query.query, peer_lost {std::move(batch.attempts), true}});
        }
    }

    void sendCancels(const active_query &query)
    {
        for (auto &[peer, attempts] : cancels) {
            cancel_batch batch {query.state.query, std::move(attempts)};
            if (peer == selfNumber) {
                transportOut.cancelHere(std::move(batch));
            } else {
                transportOut.send(peers.idOf(peer), std::move(batch));
            }
        }
    }

    void failLocally(const active_query &query, const shard_attempt &attempt, attempt_failure failure)
    {
        shard_answer answer;
        answer.query = query.state.query;
        answer.shard = attempt.shard;
        answer.attempt = attempt.attempt;
        answer.server = attempt.server;
        answer.outcome = run_outcome::not_run;
        answer.failure = failure;
        waiting.push_back({answer.query.query, std::move(answer)});
    }

    guard_question questionOf(const active_query &query, guard_report report) const
    {
        guard_question question;
        question.query = query.state.query;
        question.service = query.request.service;
        question.request = query.request.request;
        question.report = report;
        question.deadlineMs = static_cast<std::uint32_t>(timeLeft(loop.now(), query.state.answerDeadline).count());
        return question;
    }

    void askAboutCrash(active_query &query, const report_crash &crash)
    {
        auto question = questionOf(query, guard_report::crashed);
        question.shard = crash.shard;
        question.server = query.service->serving.loads.idOf(crash.server);
        query.onTrial = true;
        guard.ask(question, [this, number = question.query.query, shard = crash.shard](guard_verdict verdict) {
            dispatch(number, crash_verdict {shard, verdict == guard_verdict::retry, verdict == guard_verdict::quarantined});
        });
    }

    void reportTrialPassed(active_query &query)
    {
        query.onTrial = false;
        guard.reportTrial(questionOf(query, guard_report::passed));
    }

    void begin(active_query &query)
    {
        if (policy.trials == trial_policy::none || guard.isClear(query.request.request)) {
            dispatch(query.state.query.query, query_started {});
            return;
        }
        query.onTrial = true;
        setTimer(query, query.state.answerDeadline);
        const auto number = query.state.query.query;
        guard.ask(questionOf(query, guard_report::run_requested), [this, number](guard_verdict verdict) { handleVerdict(number, verdict); });
    }

    void handleVerdict(query_number number, guard_verdict verdict)
    {
        const auto found = queries.find(number);
        if (found == queries.end()) {
            return;
        }
        auto &query = *found->second;
        if (verdict == guard_verdict::quarantined) {
            dispatch(number, crash_verdict {.quarantined = true});
            return;
        }
        if (verdict == guard_verdict::try_one) {
            const auto shards = static_cast<std::uint32_t>(query.state.shards.size());
            query.plan.canary = shard_index {static_cast<std::uint32_t>(query.request.request.value % shards)};
        } else {
            query.onTrial = false;
        }
        // The query is pinned now because the snapshot may have changed during the wait.
        query.state = makeQuery(query.plan, query.service->serving);
        dispatch(number, query_started {});
    }

    void setTimer(active_query &query, monotonic_time at)
    {
        loop.cancelTimer(query.timer);
        // Rounded up: a timer that fires early would have to be set again.
        const auto delay = std::chrono::ceil<milliseconds>(std::max(at - loop.now(), monotonic_time::duration {0}));
        const auto number = query.state.query.query;
        query.timer = loop.after(delay, [this, number] { dispatch(number, timer_fired {}); });
    }

    void finish(active_query &query, query_outcome outcome)
    {
        loop.cancelTimer(query.timer);
        count(query.state, outcome);
        if (query.onTrial) {
            guard.reportTrial(questionOf(query, guard_report::ended));
        }
        auto reply = makeReply(query.state, outcome);
        const auto done = std::move(query.done);
        queries.erase(reply.query.query);
        done(std::move(reply));
    }

    void count(const query_state &state, query_outcome outcome)
    {
        counters.quarantined.add(outcome == query_outcome::quarantined ? 1 : 0);
        counters.queries.add();
        counters.attempts.add(state.attempts);
        counters.extraAttempts.add(state.extraAttempts);
        counters.restarts.add(state.restarted ? 1 : 0);
        counters.late.add(state.dropped.late);
        counters.foreign.add(state.dropped.foreign);
        counters.mixed.add(state.dropped.mixed);
        counters.latency.observe(std::chrono::duration_cast<microseconds>(loop.now() - state.startedAt));
    }

    static search_reply makeReply(const query_state &state, query_outcome outcome)
    {
        search_reply reply;
        reply.query = state.query;
        reply.outcome = outcome;
        reply.snapshot = state.snapshot;
        reply.shards = static_cast<std::uint32_t>(state.shards.size());
        reply.covered = state.answered;
        reply.attempts = state.attempts;
        reply.extraAttempts = state.extraAttempts;
        for (std::uint32_t i = 0; i < reply.shards; ++i) {
            if (!state.shards[i].answered) {
                reply.missing.push_back({{i}, missingReason(state.shards[i])});
            }
        }
        if (outcome == query_outcome::complete || outcome == query_outcome::partial) {
            reply.results = mergeResults(state);
        }
        return reply;
    }

    bool isOwnQuery(const query_reference &query) const
    {
        return query.coordinator == self.id && query.incarnationNumber == self.incarnationNumber;
    }

    void handlePeerLoss(const peer_loss &loss)
    {
        const auto peer = peers.find(loss.id);
        if (!peer) {
            return;
        }
        std::vector<queued_event> lost;
        for (const auto &[number, query] : queries) {
            peer_lost event {.neverSent = loss.neverEstablished};
            for (const auto &sent : query->sent) {
                if (sent.peer == *peer) {
                    event.attempts.push_back({sent.shard, sent.attempt, {}});
                }
            }
            if (!event.attempts.empty()) {
                lost.push_back({number, std::move(event)});
            }
        }
        for (auto &event : lost) {
            dispatch(event.query, std::move(event.event));
        }
    }

    reactor &loop;
    identity self;
    transport transportOut;
    policies policy;
    coordinator_metrics counters;
    peer_numbers peers;
    peer_number selfNumber;
    request_guard guard;
    serving_table services;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    std::unordered_map<query_number, std::unique_ptr<active_query>> queries;
    query_number lastQuery;
    std::deque<queued_event> waiting;
    bool dispatching = false;
    // Reused between events to avoid allocations.
    query_actions actions;
    attempts_by_peer batches;
    attempts_by_peer cancels;
};

coordinator::coordinator(reactor &loop, identity self, transport out, policies chosen, metrics &metricRegistry)
    : m_implementation(std::make_unique<implementation>(loop, std::move(self), std::move(out), chosen, metricRegistry))
{
}

coordinator::~coordinator()
{
    for (const auto &[number, query] : m_implementation->queries) {
        m_implementation->loop.cancelTimer(query->timer);
    }
}

void coordinator::setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners)
{
    auto &impl = *m_implementation;
    const bool alone = impl.policy.ownership == ownership_policy::every_daemon;
    impl.services.adopt(*view, *owners, alone ? std::optional(impl.selfNumber) : std::nullopt, impl.policy.hedging, impl.peers);
    impl.guard.setView(view);
    impl.view = std::move(view);
}

bool coordinator::search(search_request request, search_callback done)
{
    auto &impl = *m_implementation;
    auto service = impl.services.find(request.service);
    if (!service) {
        return false;
    }
    impl.lastQuery.value += 1;
    const auto now = impl.loop.now();
    query_plan plan;
    plan.query = {impl.self.id, impl.self.incarnationNumber, impl.lastQuery};
    plan.startedAt = now;
    plan.callerDeadline = now + request.wait;
    plan.minCoverage = request.terms->minCoverage;
    plan.extraLoadShare = request.terms->extraLoadShare;
    auto query = std::make_unique<active_query>();
    query->plan = plan;
    query->state = makeQuery(plan, service->serving);
    query->request = std::move(request);
    query->service = std::move(service);
    query->done = std::move(done);
    auto &kept = *impl.queries.emplace(impl.lastQuery, std::move(query)).first->second;
    if (impl.guard.isQuarantined(kept.request.request)) {
        impl.dispatch(impl.lastQuery, crash_verdict {.quarantined = true});
    } else {
        impl.begin(kept);
    }
    return true;
}

void coordinator::receive(shard_answer answer)
{
    if (!m_implementation->isOwnQuery(answer.query)) {
        m_implementation->counters.foreign.add();
        return;
    }
    const auto query = answer.query.query;
    m_implementation->dispatch(query, std::move(answer));
}

void coordinator::peerLost(const peer_loss &loss)
{
    m_implementation->handlePeerLoss(loss);
}

request_guard &coordinator::guard()
{
    return m_implementation->guard;
}

std::size_t coordinator::openQueries() const
{
    return m_implementation->queries.size();
}

} // namespace daisystile
