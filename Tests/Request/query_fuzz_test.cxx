#include "query_fixture.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <set>

using namespace daisystile;

namespace {

// Applies random events to queries on one service. Answers are kept and delivered late, twice and out of order.
class query_fuzz
{
public:
    explicit query_fuzz(std::uint64_t seed)
        : m_random(seed)
    {
        nextQuery();
    }

    void step()
    {
        m_now += microseconds {below(3000)};
        switch (below(12)) {
        case 0:
            run(timer_fired {});
            break;
        case 1:
            loseAttempts();
            break;
        case 2:
            run(crash_verdict {{below(shardCount())}, below(2) == 0, below(200) == 0});
            break;
        case 3:
            if (below(20) == 0) {
                changeCatalogue();
            }
            break;
        default:
            answerOne();
        }
        if (m_state.phase == query_phase::finished && below(20) == 0) {
            nextQuery();
        }
    }

    std::uint64_t firstAttempts() const
    {
        return m_firstAttempts;
    }

    std::uint64_t budgetedAttempts() const
    {
        return m_budgetedAttempts;
    }

    std::uint64_t answers() const
    {
        return m_answers;
    }

private:
    std::uint32_t below(std::uint32_t bound)
    {
        return m_random(bound);
    }

    std::uint32_t shardCount() const
    {
        return static_cast<std::uint32_t>(m_state.shards.size());
    }

    void nextQuery()
    {
        m_fixture.plan.query.query.value += 1;
        m_fixture.plan.startedAt = m_now;
        m_fixture.plan.callerDeadline = m_now + milliseconds {50 + below(200)};
        m_fixture.plan.canary = below(3) == 0 ? std::optional(shard_index {below(4)}) : std::nullopt;
        m_state = makeQuery(m_fixture.plan, m_fixture.serving);
        m_answered = false;
        m_sent.clear();
        run(query_started {});
    }

    void changeCatalogue()
    {
        m_map += 1;
        updateCatalogue(m_fixture.serving, query_fixture::makeService(3 + below(4), 3, "snap-" + std::to_string(m_map), m_map));
    }

    void run(query_event event)
    {
        query_actions actions;
        const auto tokens = m_fixture.budget.available();
        const auto *answer = std::get_if<shard_answer>(&event);
        const bool needsBudget = answer != nullptr && answer->failure == attempt_failure::shed && m_state.phase == query_phase::fanned_out && tokens < 1;
        const bool restarted = m_state.restarted;
        decide(m_state, m_fixture.serving, m_fixture.budget, std::move(event), m_now, actions);
        for (const auto &action : actions) {
            std::visit([this](const auto &entry) { take(entry); }, action);
        }
        if (needsBudget && restarted == m_state.restarted) {
            ASSERT_TRUE(actionsOf<send_attempt>(actions).empty()) << "retried without budget";
        }
        const auto used = tokens - m_fixture.budget.available();
        m_budgetedAttempts += used > 0 ? static_cast<std::uint64_t>(used) : 0;
        checkInvariants();
    }

    template<class Action> void take(const Action &)
    {
    }

    void take(const send_attempt &sent)
    {
        ASSERT_FALSE(m_answered) << "sent after the answer";
        ASSERT_TRUE(m_sent.emplace(sent.shard.value, sent.attempt.value).second) << "attempt number used twice";
        m_firstAttempts += sent.attempt.value == 0 ? 1 : 0;
        shard_answer answer;
        answer.query = m_state.query;
        answer.shard = sent.shard;
        answer.attempt = sent.attempt;
        answer.server = m_fixture.serving.loads.idOf(sent.server);
        answer.outcome = run_outcome::done;
        answer.snapshot = m_state.snapshot;
        answer.mapVersion = m_state.index->catalogue->mapVersion;
        answer.body = bodyOf(answer);
        m_answersToGive.push_back(std::move(answer));
    }

    static std::string bodyOf(const shard_answer &answer)
    {
        return "[\"" + answer.snapshot.value + "/" + std::to_string(answer.mapVersion.value) + "/" + std::to_string(answer.shard.value) + "/"
            + std::to_string(answer.query.query.value) + "\"]";
    }

    void take(const answer_caller &)
    {
        ASSERT_FALSE(m_answered) << "answered twice";
        m_answered = true;
        m_answers += 1;
    }

    void answerOne()
    {
        if (m_answersToGive.empty()) {
            return;
        }
        const auto recent = std::min<std::uint32_t>(static_cast<std::uint32_t>(m_answersToGive.size()), 12);
        const auto place = m_answersToGive.size() - 1 - below(recent);
        auto answer = m_answersToGive[place];
        if (below(4) != 0) {
            m_answersToGive.erase(m_answersToGive.begin() + static_cast<std::ptrdiff_t>(place));
        }
        corrupt(answer);
        run(std::move(answer));
        if (m_answersToGive.size() > 200) {
            m_answersToGive.erase(m_answersToGive.begin(), m_answersToGive.begin() + 100);
        }
    }

    void corrupt(shard_answer &answer)
    {
        static constexpr std::array failures {attempt_failure::snapshot_not_held,
            attempt_failure::shard_not_here,
            attempt_failure::shed,
            attempt_failure::not_owner,
            attempt_failure::server_lost,
            attempt_failure::draining,
            attempt_failure::malformed,
            attempt_failure::cancelled};
        switch (below(8)) {
        case 0:
            answer.snapshot = {"snap-other"};
            answer.body = bodyOf(answer);
            break;
        case 1:
            answer.mapVersion.value += 1;
            answer.body = bodyOf(answer);
            break;
        case 2:
            answer.body.pop_back();
            break;
        case 3:
        case 4:
            answer.outcome = run_outcome::not_run;
            answer.failure = failures[below(failures.size())];
            answer.snapshot = {"snap-" + std::to_string(m_map + below(2))};
            break;
        default:
            break;
        }
        answer.load = {.allowed = static_cast<std::uint16_t>(1 + below(3)), .running = 1, .latencyUs = below(50'000)};
    }

    void loseAttempts()
    {
        peer_lost lost;
        for (std::uint32_t i = 0; i < 3; ++i) {
            lost.attempts.push_back({{below(8)}, {below(4)}, {}});
        }
        run(std::move(lost));
    }

    // Checks the invariants after every step.
    void checkInvariants()
    {
        std::uint32_t answered = 0;
        for (std::uint32_t i = 0; i < m_state.shards.size(); ++i) {
            const auto &shard = m_state.shards[i];
            ASSERT_LE(shard.attemptCount, maxAttemptsPerShard);
            answered += shard.answered ? 1 : 0;
            const auto expected = "\"" + m_state.snapshot.value + "/" + std::to_string(m_state.index->catalogue->mapVersion.value) + "/" + std::to_string(i)
                + "/" + std::to_string(m_state.query.query.value) + "\"";
            if (shard.answered) {
                ASSERT_EQ(shard.body.substr(shard.results.begin, shard.results.end - shard.results.begin), expected);
            }
        }
        ASSERT_EQ(answered, m_state.answered);
        ASSERT_EQ(m_answered, m_state.phase == query_phase::finished);
        if (m_answered) {
            for (const auto &shard : m_state.shards) {
                ASSERT_EQ(shard.openCount, 0);
            }
            for (std::uint32_t server = 0; server < m_fixture.serving.loads.size(); ++server) {
                ASSERT_EQ(m_fixture.serving.loads.outstanding({server}), 0U);
            }
        }
        ASSERT_GE(m_fixture.budget.available(), 0);
    }

    pcg32 m_random;
    query_fixture m_fixture;
    query_state m_state;
    monotonic_time m_now = testStart;
    std::uint64_t m_map = 1;
    bool m_answered = false;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_sent;
    std::vector<shard_answer> m_answersToGive;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_budgetedAttempts = 0;
    std::uint64_t m_answers = 0;
};

} // namespace

class query_fuzz_seeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(query_fuzz_seeds, keepsItsInvariantsInAnyOrderOfEvents)
{
    static constexpr int steps = 100'000;
    query_fuzz fuzz(GetParam());
    for (int i = 0; i < steps && !HasFatalFailure(); ++i) {
        fuzz.step();
    }
    EXPECT_GT(fuzz.answers(), 100U);
    EXPECT_LE(static_cast<double>(fuzz.budgetedAttempts()), 0.05 * static_cast<double>(fuzz.firstAttempts()));
}

INSTANTIATE_TEST_SUITE_P(seeds, query_fuzz_seeds, testing::Values(1, 2, 3, 4, 5));
