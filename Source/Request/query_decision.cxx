#include "query_decision.h"

#include "retry_rule.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds minRestartTime {5};
static constexpr double restartLatencyQuantile = 0.95;

namespace {

class query_decider
{
public:
    query_decider(query_state &state, serving_state &serving, extra_load_budget &budget, monotonic_time now, query_actions &actions)
        : m_state(state),
          m_serving(serving),
          m_budget(budget),
          m_now(now),
          m_actions(actions)
    {
    }

    void operator()(const query_started &)
    {
        setTimer(nextHedgeTime());
        if (m_state.canary && m_state.canary->value < m_state.shards.size()) {
            m_state.phase = query_phase::canary;
            addToBudget(1);
            sendFirst(*m_state.canary);
        } else {
            fanOut();
        }
        finishWhenDone();
    }

    void operator()(shard_answer &answer)
    {
        attempt_state *attempt = findAttempt(answer);
        if (attempt == nullptr) {
            return;
        }
        if (answer.load.allowed > 0 || answer.load.latencyUs > 0) {
            m_serving.loads.report(attempt->server, answer.load, m_now);
        }
        if (!attempt->open) {
            m_state.dropped.late += 1;
            return;
        }
        close(answer.shard, *attempt);
        if (answer.outcome == run_outcome::done && answer.failure == attempt_failure::none) {
            acceptResult(answer, *attempt);
        } else {
            failed(answer.shard, *attempt, answer.failure, answer.snapshot, retryRuleFor(answer));
        }
        finishWhenDone();
    }

    void operator()(const timer_fired &)
    {
        if (m_now >= m_state.answerDeadline) {
            finish();
            return;
        }
        setTimer(hedgeSlowShards());
    }

    void operator()(const peer_lost &lost)
    {
        for (const auto &[shard, number, server] : lost.attempts) {
            auto *attempt = findOpenAttempt(m_state, shard, number);
            if (attempt != nullptr && m_state.phase != query_phase::finished) {
                close(shard, *attempt);
                failed(shard, *attempt, attempt_failure::peer_lost, {}, lost.neverSent ? retry_rule::without_budget : retry_rule::from_budget);
            }
        }
        finishWhenDone();
    }

    void operator()(const crash_verdict &verdict)
    {
        if (verdict.quarantined) {
            m_state.quarantined = true;
            finish();
            return;
        }
        if (verdict.shard.value >= m_state.shards.size() || !shardOf(verdict.shard).crashVerdictPending) {
            return;
        }
        auto &shard = shardOf(verdict.shard);
        shard.crashVerdictPending = false;
        if (!shard.answered && shard.openCount == 0) {
            if (!verdict.mayRetry || !m_budget.take()) {
                exhaust(verdict.shard);
            } else {
                sendExtra(verdict.shard);
            }
        }
        finishWhenDone();
    }

private:
    shard_state &shardOf(shard_index shard)
    {
        return m_state.shards[shard.value];
    }

    // Returns null and counts the answer as dropped if it matches no attempt. Answers to attempts from before a
    // restart count as late.
    attempt_state *findAttempt(const shard_answer &answer)
    {
        if (answer.query != m_state.query || answer.shard.value >= m_state.shards.size()) {
            m_state.dropped.foreign += 1;
            return nullptr;
        }
        auto *attempt = attemptByNumber(shardOf(answer.shard), answer.attempt);
        if (attempt == nullptr) {
            const bool wasSent = answer.attempt.value < shardOf(answer.shard).nextAttempt.value;
            (wasSent ? m_state.dropped.late : m_state.dropped.foreign) += 1;
            return nullptr;
        }
        if (m_serving.loads.idOf(attempt->server) != answer.server) {
            m_state.dropped.foreign += 1;
            return nullptr;
        }
        return attempt;
    }

    void close(shard_index shard, attempt_state &attempt)
    {
        attempt.open = false;
        shardOf(shard).openCount -= 1;
        m_serving.loads.ended(attempt.server);
    }

    void cancelOpen(shard_index index)
    {
        auto &shard = shardOf(index);
        for (std::size_t i = 0; i < shard.attemptCount && shard.openCount > 0; ++i) {
            auto &attempt = shard.attempts[i];
            if (attempt.open) {
                close(index, attempt);
                addLatency(attempt);
                recordSlowAttempt(attempt);
                m_actions.emplace_back(cancel_attempt {index, attempt.number, attempt.server});
            }
        }
    }

    // Cancelled attempts are recorded with their elapsed time; without them the distribution would lack the slow
    // attempts.
    void addLatency(const attempt_state &attempt)
    {
        m_serving.latencies.add(std::chrono::duration_cast<microseconds>(m_now - attempt.sentAt));
    }

    // A straggler whose attempts are all cancelled never reports its own latency, so its elapsed time is recorded here.
    void recordSlowAttempt(const attempt_state &attempt)
    {
        m_serving.loads.raiseLatency(attempt.server, std::chrono::duration_cast<microseconds>(m_now - attempt.sentAt), m_now);
    }

    void acceptResult(shard_answer &answer, const attempt_state &attempt)
    {
        if (answer.snapshot != m_state.snapshot || answer.mapVersion != m_state.index->catalogue->mapVersion) {
            m_state.dropped.mixed += 1;
            const bool otherSnapshot = answer.snapshot != m_state.snapshot;
            const auto failure = otherSnapshot ? attempt_failure::snapshot_not_held : attempt_failure::shard_not_here;
            // The server ran the request, unlike one that rejects it for a snapshot it doesn't hold, so the retry is
            // charged to the budget.
            failed(answer.shard, attempt, failure, answer.snapshot, retry_rule::from_budget);
            return;
        }
        const auto results = findResults(answer.body);
        if (!results) {
            failed(answer.shard, attempt, attempt_failure::malformed, {}, retry_rule::from_budget);
            return;
        }
        addLatency(attempt);
        auto &shard = shardOf(answer.shard);
        shard.answered = true;
        shard.body = std::move(answer.body);
        shard.results = *results;
        m_state.answered += 1;
        m_state.pending -= shard.exhausted ? 0 : 1;
        cancelOpen(answer.shard);
        if (m_state.phase == query_phase::canary || shard.crashed) {
            m_actions.emplace_back(report_trial_passed {});
        }
        if (m_state.phase == query_phase::canary) {
            m_state.phase = query_phase::fanned_out;
            fanOut();
        }
    }

    void failed(shard_index index, const attempt_state &attempt, attempt_failure failure, const snapshot_id &held, retry_rule rule)
    {
        auto &shard = shardOf(index);
        shard.lastFailure = failure;
        avoidServer(attempt.server, failure);
        if (failure == attempt_failure::not_owner) {
            attemptByNumber(shard, attempt.number)->retriable = true;
        }
        if (failure == attempt_failure::snapshot_not_held) {
            voteForSnapshot(m_state, shard, held);
        }
        if (rule == retry_rule::after_crash_verdict) {
            shard.crashVerdictPending = true;
            shard.crashed = true;
            m_actions.emplace_back(report_crash {index, attempt.server});
        }
        if (failure == attempt_failure::quarantined) {
            m_state.quarantined = true;
            finish();
            return;
        }
        if (shouldRestart(failure)) {
            restart();
            return;
        }
        if (shard.openCount == 0) {
            retry(index, rule);
        }
    }

    void avoidServer(server_number server, attempt_failure failure)
    {
        const auto avoidance = avoidanceTime(failure);
        if (avoidance.count() > 0) {
            m_serving.loads.avoid(server, m_now + avoidance);
        }
    }

    void retry(shard_index shard, retry_rule rule)
    {
        if (rule == retry_rule::after_crash_verdict || shardOf(shard).crashVerdictPending) {
            return;
        }
        if (rule == retry_rule::never || (rule == retry_rule::from_budget && !m_budget.take())) {
            exhaust(shard);
        } else {
            sendExtra(shard);
        }
    }

    void sendExtra(shard_index shard)
    {
        if (send(shard)) {
            m_state.extraAttempts += 1;
        } else {
            exhaust(shard);
        }
    }

    void sendFirst(shard_index shard)
    {
        if (!send(shard)) {
            const bool hasReplica = !m_state.index->replicas[shard.value].empty();
            shardOf(shard).lastFailure = hasReplica ? attempt_failure::domain_out : attempt_failure::shard_not_here;
            exhaust(shard);
        }
    }

    std::optional<server_number> nextServer(shard_index index)
    {
        const auto &shard = shardOf(index);
        std::array<server_number, maxAttemptsPerShard> tried;
        std::size_t count = 0;
        for (std::size_t i = 0; i < shard.attemptCount; ++i) {
            if (!shard.attempts[i].retriable) {
                tried[count] = shard.attempts[i].server;
                count += 1;
            }
        }
        const auto salt = m_state.query.query.value + index.value;
        return m_serving.loads.choose(m_state.index->replicas[index.value], {tried.data(), count}, salt, m_now);
    }

    bool send(shard_index index)
    {
        auto &shard = shardOf(index);
        if (shard.attemptCount == maxAttemptsPerShard) {
            return false;
        }
        const auto server = nextServer(index);
        if (!server) {
            return false;
        }
        shard.attempts[shard.attemptCount] = {.number = shard.nextAttempt, .server = *server, .open = true, .sentAt = m_now};
        shard.attemptCount += 1;
        shard.openCount += 1;
        m_actions.emplace_back(send_attempt {index, shard.nextAttempt, *server});
        shard.nextAttempt.value += 1;
        m_state.attempts += 1;
        m_serving.loads.started(*server);
        return true;
    }

    void fanOut()
    {
        std::size_t sent = 0;
        for (std::uint32_t i = 0; i < m_state.shards.size(); ++i) {
            const auto &shard = m_state.shards[i];
            if (shard.attemptCount == 0 && !shard.exhausted) {
                sendFirst({i});
                sent += 1;
            }
        }
        addToBudget(sent);
    }

    // Attempts after a restart are not first attempts and add nothing to the budget.
    void addToBudget(std::size_t firstAttempts)
    {
        if (!m_state.restarted) {
            m_budget.addFirstAttempts(firstAttempts, m_state.extraLoadShare);
        }
    }

    void exhaust(shard_index index)
    {
        auto &shard = shardOf(index);
        if (shard.exhausted || shard.answered) {
            return;
        }
        shard.exhausted = true;
        m_state.pending -= 1;
        if (m_state.phase == query_phase::canary) {
            shard.crashed ? exhaustAfterCrash() : sendNextCanary(index);
        }
    }

    // The request crashed a server and is not retried. Each further shard could lose a server to it, so none is asked.
    void exhaustAfterCrash()
    {
        for (auto &shard : m_state.shards) {
            if (!shard.exhausted) {
                shard.exhausted = true;
                shard.lastFailure = attempt_failure::server_lost;
            }
        }
        m_state.pending = 0;
    }

    // The canary shard's replicas could not run the request for reasons unrelated to it, so another shard becomes the
    // canary.
    void sendNextCanary(shard_index last)
    {
        const auto next = last.value + 1 < m_state.shards.size() ? last.value + 1 : 0;
        if (m_state.shards[next].attemptCount == 0 && !m_state.shards[next].exhausted) {
            m_state.canary = shard_index {next};
            addToBudget(1);
            sendFirst({next});
        }
    }

    bool shouldRestart(attempt_failure failure)
    {
        if (m_state.restarted || m_state.phase == query_phase::finished) {
            return false;
        }
        const auto expectedLatency = m_serving.latencies.quantile(restartLatencyQuantile);
        if (m_now + std::max<microseconds>(2 * expectedLatency, minRestartTime) >= m_state.answerDeadline) {
            return false;
        }
        const bool newMap = failure == attempt_failure::shard_not_here && m_serving.index != m_state.index;
        const auto *held = mostReportedSnapshot(m_state);
        const bool newSnapshot = held != nullptr && 2 * static_cast<std::size_t>(held->shards) > m_state.shards.size();
        // Shards that already answered run again, which is charged to the budget like any retry.
        return (newMap || newSnapshot || canaryReportedSnapshot(failure)) && m_budget.take(m_state.answered);
    }

    // In the canary phase only one shard was asked, so its reported snapshot is decisive.
    bool canaryReportedSnapshot(attempt_failure failure) const
    {
        return m_state.phase == query_phase::canary && failure == attempt_failure::snapshot_not_held && mostReportedSnapshot(m_state) != nullptr;
    }

    void restart()
    {
        attempt_number next;
        for (std::uint32_t i = 0; i < m_state.shards.size(); ++i) {
            cancelOpen({i});
            next.value = std::max(next.value, m_state.shards[i].nextAttempt.value);
        }
        m_state.restarted = true;
        repinSnapshot();
        m_state.shards.assign(m_state.index->replicas.size(), shard_state {.nextAttempt = next});
        m_state.answered = 0;
        m_state.pending = static_cast<std::uint32_t>(m_state.shards.size());
        if (m_state.phase == query_phase::canary) {
            sendFirst({m_state.canary->value % std::max<std::uint32_t>(m_state.pending, 1)});
        } else {
            fanOut();
        }
    }

    void repinSnapshot()
    {
        const auto *held = mostReportedSnapshot(m_state);
        m_state.index = m_serving.index;
        m_state.snapshot = held != nullptr ? held->snapshot : newestSnapshot(m_serving);
        m_serving.reportedSnapshot = m_state.snapshot;
        m_state.votes.clear();
    }

    bool mayHedge(const shard_state &shard) const
    {
        return !shard.answered && shard.openCount == 1 && shard.attemptCount < maxAttemptsPerShard && !shard.crashed;
    }

    monotonic_time nextHedgeTime() const
    {
        const auto delay = hedgeDelay(m_serving);
        return delay.count() == 0 ? m_state.answerDeadline : m_now + delay;
    }

    // Returns the time of the next check.
    monotonic_time hedgeSlowShards()
    {
        const auto delay = hedgeDelay(m_serving);
        if (delay.count() == 0) {
            return m_state.answerDeadline;
        }
        auto next = m_now + delay;
        for (std::uint32_t i = 0; i < m_state.shards.size(); ++i) {
            const auto &shard = m_state.shards[i];
            if (!mayHedge(shard)) {
                continue;
            }
            const auto due = shard.attempts[shard.attemptCount - 1].sentAt + delay;
            if (due > m_now) {
                next = std::min(next, due);
            } else {
                recordSlowAttempt(shard.attempts[shard.attemptCount - 1]);
                hedge({i}, delay);
            }
        }
        return next;
    }

    void hedge(shard_index shard, microseconds delay)
    {
        const auto server = nextServer(shard);
        if (server && shouldHedge(m_serving, *server, delay, m_now) && m_budget.takeForHedge()) {
            sendExtra(shard);
        }
    }

    void setTimer(monotonic_time at)
    {
        m_state.timerAt = std::min(at, m_state.answerDeadline);
        m_actions.emplace_back(set_timer {m_state.timerAt});
    }

    void finishWhenDone()
    {
        if (m_state.pending == 0) {
            finish();
        }
    }

    void finish()
    {
        if (m_state.phase == query_phase::finished) {
            return;
        }
        for (std::uint32_t i = 0; i < m_state.shards.size(); ++i) {
            cancelOpen({i});
        }
        m_state.phase = query_phase::finished;
        m_actions.emplace_back(answer_caller {outcomeOf(m_state)});
    }

    query_state &m_state;
    serving_state &m_serving;
    extra_load_budget &m_budget;
    monotonic_time m_now;
    query_actions &m_actions;
};

} // namespace

void decide(query_state &state, serving_state &serving, extra_load_budget &budget, query_event event, monotonic_time now, query_actions &actions)
{
    if (state.phase == query_phase::finished) {
        state.dropped.late += std::holds_alternative<shard_answer>(event) ? 1 : 0;
        return;
    }
    std::visit(query_decider(state, serving, budget, now, actions), event);
}

} // namespace daisystile
