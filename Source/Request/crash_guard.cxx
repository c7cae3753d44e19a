#include "crash_guard.h"

#include <algorithm>

namespace daisystile {

static constexpr std::size_t maxRequests = 50'000;
static constexpr std::size_t maxWaiting = 256;
// An answer in transit may still arrive this long after the query's deadline.
static constexpr milliseconds trialGrace {200};

namespace {

class guard_decider
{
public:
    guard_decider(guard_state &state, monotonic_time now, std::vector<guard_action> &actions)
        : m_state(state),
          m_now(now),
          m_actions(actions)
    {
    }

    void operator()(const guard_question &question)
    {
        auto &request = find(question);
        expireTrial(request);
        switch (question.report) {
        case guard_report::run_requested:
            ask(request, question);
            break;
        case guard_report::passed:
            pass(request, question);
            break;
        case guard_report::ended:
            end(request, question);
            break;
        case guard_report::crashed:
            crash(request, question);
            break;
        }
    }

    void operator()(const guard_tick &)
    {
        const auto over = [this](fingerprint candidate) {
            const auto found = m_state.requests.find(candidate);
            if (found == m_state.requests.end()) {
                return true;
            }
            expireTrial(found->second);
            return !found->second.trial;
        };
        const auto candidates = std::exchange(m_state.onTrial, {});
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(m_state.onTrial), [&over](fingerprint candidate) { return !over(candidate); });
    }

    void operator()(const quarantine_lifted &lifted)
    {
        const auto found = m_state.requests.find(lifted.request);
        if (found != m_state.requests.end()) {
            found->second.quarantinedUntil = {};
            found->second.crashes.clear();
        }
    }

private:
    guarded_request &find(const guard_question &question)
    {
        const auto [found, isNew] = m_state.requests.try_emplace(question.request);
        if (isNew) {
            found->second.service = question.service;
            m_state.order.push_back(question.request);
            evictOldest();
        }
        return found->second;
    }

    // Evicts the oldest records. Records with a quarantine or a trial in progress are moved to the end of the queue
    // instead.
    void evictOldest()
    {
        for (std::size_t checked = 0; m_state.order.size() > maxRequests && checked < maxWaiting; ++checked) {
            const auto oldest = m_state.order.front();
            m_state.order.pop_front();
            const auto found = m_state.requests.find(oldest);
            if (found->second.trial || m_now < found->second.quarantinedUntil) {
                m_state.order.push_back(oldest);
            } else {
                m_state.requests.erase(found);
            }
        }
    }

    void reply(const guard_question &question, guard_verdict verdict)
    {
        m_actions.emplace_back(guard_answer {question.query, question.request, question.report, question.shard, verdict});
    }

    bool quarantined(const guarded_request &request) const
    {
        return m_now < request.quarantinedUntil;
    }

    void ask(guarded_request &request, const guard_question &question)
    {
        if (quarantined(request)) {
            reply(question, guard_verdict::quarantined);
        } else if (request.trial) {
            wait(request, question);
        } else if (m_now < request.clearUntil) {
            reply(question, guard_verdict::clear);
        } else {
            grant(request, question);
        }
    }

    void wait(guarded_request &request, const guard_question &question)
    {
        if (request.waiting.size() < maxWaiting) {
            request.waiting.push_back(question);
        }
        // A query that exceeds the limit is not queued and waits until its deadline.
        reply(question, guard_verdict::wait);
    }

    void grant(guarded_request &request, const guard_question &question)
    {
        const auto known = std::find(m_state.onTrial.begin(), m_state.onTrial.end(), question.request);
        if (known == m_state.onTrial.end()) {
            m_state.onTrial.push_back(question.request);
        }
        request.trial = question;
        request.trialEnds = m_now + milliseconds {question.deadlineMs} + trialGrace;
        reply(question, question.report == guard_report::crashed ? guard_verdict::retry : guard_verdict::try_one);
    }

    void pass(guarded_request &request, const guard_question &question)
    {
        if (quarantined(request) || !request.trial || request.trial->query != question.query) {
            return;
        }
        request.trial.reset();
        request.clearUntil = m_now + clearDuration;
        for (const auto &waiting : std::exchange(request.waiting, {})) {
            reply(waiting, waiting.report == guard_report::crashed ? guard_verdict::retry : guard_verdict::clear);
        }
    }

    void end(guarded_request &request, const guard_question &question)
    {
        std::erase_if(request.waiting, [&question](const guard_question &waiting) { return waiting.query == question.query; });
        if (request.trial && request.trial->query == question.query) {
            startNextTrial(request);
        }
    }

    void startNextTrial(guarded_request &request)
    {
        request.trial.reset();
        if (request.waiting.empty()) {
            return;
        }
        const auto next = request.waiting.front();
        request.waiting.erase(request.waiting.begin());
        grant(request, next);
    }

    void expireTrial(guarded_request &request)
    {
        if (request.trial && m_now >= request.trialEnds) {
            startNextTrial(request);
        }
    }

    void crash(guarded_request &request, const guard_question &question)
    {
        record(request, question);
        request.clearUntil = {};
        if (quarantined(request)) {
            reply(question, guard_verdict::quarantined);
        } else if (crashesOf(request, question.shard) >= maxCrashesPerShard) {
            quarantine(request, question);
        } else if (request.trial && request.trial->query != question.query) {
            wait(request, question);
        } else {
            grant(request, question);
        }
    }

    void record(guarded_request &request, const guard_question &question)
    {
        if (m_now >= request.crashesExpireAt) {
            request.crashes.clear();
        }
        request.crashesExpireAt = m_now + quarantineDuration;
        const auto same = [&question](const crash_record &known) {
            return known.shard == question.shard && known.server == question.server;
        };
        if (std::none_of(request.crashes.begin(), request.crashes.end(), same)) {
            request.crashes.push_back({question.shard, question.server});
        }
    }

    static std::size_t crashesOf(const guarded_request &request, shard_index shard)
    {
        const auto onShard = [shard](const crash_record &crash) {
            return crash.shard == shard;
        };
        return static_cast<std::size_t>(std::count_if(request.crashes.begin(), request.crashes.end(), onShard));
    }

    void quarantine(guarded_request &request, const guard_question &question)
    {
        request.quarantinedUntil = m_now + quarantineDuration;
        request.trial.reset();
        reply(question, guard_verdict::quarantined);
        for (const auto &waiting : std::exchange(request.waiting, {})) {
            reply(waiting, guard_verdict::quarantined);
        }
        m_actions.emplace_back(start_quarantine {request.service, question.request});
    }

    guard_state &m_state;
    monotonic_time m_now;
    std::vector<guard_action> &m_actions;
};

} // namespace

void decide(guard_state &state, const guard_event &event, monotonic_time now, std::vector<guard_action> &actions)
{
    std::visit(guard_decider(state, now, actions), event);
}

} // namespace daisystile
