#include "forward_decision.h"

#include <algorithm>

namespace daisystile {

namespace {

// A part fails after this many refusals, so that it doesn't cycle among overloaded servers.
constexpr unsigned maxRefusals = 3;
// A server that is gone says nothing about the others; many may be gone at once and still be listed.
constexpr unsigned maxUnreached = 12;

class forward_decider
{
public:
    forward_decider(forward_state &state, monotonic_time now, forward_actions &actions)
        : m_state(state),
          m_now(now),
          m_actions(actions)
    {
    }

    void operator()(const forward_begun &)
    {
        for (part_index part = 0; part < m_state.parts.size(); ++part) {
            m_actions.emplace_back(start_attempt {part, attempt_purpose::first});
        }
    }

    void operator()(const attempt_started &event)
    {
        auto &part = m_state.parts[event.part];
        part.running += 1;
        part.waiting = false;
        const bool mayHedge = event.purpose == attempt_purpose::first && m_state.terms.retryPolicy == retry_policy::idempotent;
        part.hedgeAt = mayHedge && m_state.terms.maxAttempts > 1 ? m_now + event.hedgeDelay : monotonic_time::max();
    }

    void operator()(const no_server_available &event)
    {
        auto &part = m_state.parts[event.part];
        if (event.purpose == attempt_purpose::hedge) {
            part.hedgeAt = monotonic_time::max();
            return;
        }
        part.waiting = true;
    }

    void operator()(const attempt_denied &event)
    {
        auto &part = m_state.parts[event.part];
        part.hedgeAt = monotonic_time::max();
        if (event.purpose != attempt_purpose::hedge && part.running == 0) {
            markLost(part);
        }
    }

    void operator()(const attempt_ended &event)
    {
        auto &part = m_state.parts[event.part];
        part.running -= std::min(part.running, 1U);
        if (event.end == attempt_end::answered) {
            answer(part);
            return;
        }
        countAttempt(part, event.end);
        if (part.answered || part.lost || part.running > 0) {
            return;
        }
        if (mayTryAgain(part)) {
            m_actions.emplace_back(start_attempt {event.part, attempt_purpose::retry});
        } else {
            markLost(part);
        }
    }

    void operator()(const capacity_available &event)
    {
        auto &part = m_state.parts[event.part];
        if (part.waiting) {
            part.waiting = false;
            m_actions.emplace_back(
                start_attempt {event.part, part.runs + part.refusals + part.unreached == 0 ? attempt_purpose::first : attempt_purpose::retry});
        }
    }

    void operator()(const timer_expired &)
    {
        for (part_index i = 0; i < m_state.parts.size(); ++i) {
            auto &part = m_state.parts[i];
            if (!part.answered && part.running > 0 && m_now >= part.hedgeAt) {
                part.hedgeAt = monotonic_time::max();
                m_actions.emplace_back(start_attempt {i, attempt_purpose::hedge});
            }
            if (part.waiting && m_now >= m_state.terms.latestStart) {
                markLost(part);
            }
        }
    }

    void conclude()
    {
        const auto &terms = m_state.terms;
        const bool hasMinParts = m_state.answered >= terms.minParts;
        const bool settled = m_state.answered + m_state.lost == terms.parts;
        const bool cannotSucceed = terms.parts - m_state.lost < terms.minParts;
        const bool timedOut = m_now >= terms.timeoutAt;
        const bool sufficient = hasMinParts && (settled || m_now >= terms.partialAnswerAt);
        const bool anyAtEnd = terms.acceptsAny && m_state.answered > 0 && (settled || timedOut);
        if (sufficient || anyAtEnd) {
            end(answer_request {});
        } else if (settled || (cannotSucceed && !terms.acceptsAny)) {
            fail(forward_failure::servers_failed);
        } else if (timedOut) {
            fail(forward_failure::timed_out);
        }
    }

private:
    static void countAttempt(part_progress &part, attempt_end end)
    {
        switch (end) {
        case attempt_end::answered:
            return;
        case attempt_end::not_run:
            part.refusals += 1;
            return;
        case attempt_end::unreached:
            part.unreached += 1;
            return;
        case attempt_end::failed:
            part.runs += 1;
            return;
        }
    }

    bool mayTryAgain(const part_progress &part) const
    {
        if (part.refusals >= maxRefusals || part.unreached >= maxUnreached) {
            return false;
        }
        if (m_state.terms.retryPolicy == retry_policy::at_most_once) {
            return part.runs == 0;
        }
        return part.runs < m_state.terms.maxAttempts;
    }

    void answer(part_progress &part)
    {
        if (part.answered) {
            return;
        }
        part.answered = true;
        part.waiting = false;
        part.hedgeAt = monotonic_time::max();
        m_state.answered += 1;
        if (part.lost) {
            part.lost = false;
            m_state.lost -= 1;
        }
    }

    void markLost(part_progress &part)
    {
        if (!part.lost && !part.answered) {
            part.lost = true;
            part.waiting = false;
            m_state.lost += 1;
        }
    }

    bool noAttemptRan() const
    {
        return std::all_of(m_state.parts.begin(), m_state.parts.end(), [](const auto &part) { return part.runs == 0 && !part.answered; });
    }

    bool noAttemptRunning() const
    {
        return std::all_of(m_state.parts.begin(), m_state.parts.end(), [](const auto &part) { return part.running == 0; });
    }

    // Only a request of which no attempt ran or is running has certainly not run.
    void fail(forward_failure otherwise)
    {
        end(fail_request {noAttemptRan() && noAttemptRunning() ? forward_failure::not_run : otherwise});
    }

    void end(const forward_action &action)
    {
        m_state.ended = true;
        m_actions.clear();
        m_actions.push_back(action);
    }

    forward_state &m_state;
    monotonic_time m_now;
    forward_actions &m_actions;
};

} // namespace

forward_state beginForward(const forward_limits &terms)
{
    forward_state state;
    state.terms = terms;
    state.parts.resize(terms.parts);
    return state;
}

void decide(forward_state &state, const forward_event &event, monotonic_time now, forward_actions &actions)
{
    if (state.ended) {
        return;
    }
    forward_decider decider(state, now, actions);
    std::visit(decider, event);
    decider.conclude();
}

monotonic_time nextTimer(const forward_state &state)
{
    const bool hasMinParts = state.answered >= state.terms.minParts;
    auto next = hasMinParts ? std::min(state.terms.partialAnswerAt, state.terms.timeoutAt) : state.terms.timeoutAt;
    for (const auto &part : state.parts) {
        if (!part.answered && part.running > 0) {
            next = std::min(next, part.hedgeAt);
        }
        if (part.waiting) {
            next = std::min(next, state.terms.latestStart);
        }
    }
    return next;
}

} // namespace daisystile
