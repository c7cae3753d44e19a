#include "Request/claim_journal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace daisystile;

namespace {

constexpr int stepsPerSeed = 100000;
constexpr int owners = 3;
constexpr int keys = 200;

// Runs three daemons that may own the same journal at the same time, over a platform that loses replies and delays
// writes.
// Guards against a key that runs twice and against a false not_run.
class claim_fuzz
{
public:
    /// The store comes back from a copy with this probability in each step.
    explicit claim_fuzz(std::uint64_t seed, double restores = 0)
        : m_random(seed),
          m_restores(restores)
    {
        for (int i = 0; i < owners; ++i) {
            restart(i);
        }
    }

    void run(int steps = stepsPerSeed)
    {
        for (int step = 0; step < steps && !testing::Test::HasFailure(); ++step) {
            runStep();
            if (m_restores > 0) {
                copyOrRestore();
            }
        }
    }

    std::uint64_t runs = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t replays = 0;

private:
    struct owner_state
    {
        std::unique_ptr<claim_journal> journal;
        std::uint64_t incarnationNumber = 0;
        /// Pending platform call and runs to report, oldest first.
        std::deque<journal_event> due;
        std::deque<write_segment> writes;
        std::optional<journal_action> call;
        std::deque<claim_key> running;
    };

    struct stored
    {
        std::string etag;
        std::string value;
    };

    struct store_copy
    {
        std::map<std::string, stored> objects;
        std::uint64_t revision = 0;
    };

    struct key_record
    {
        /// Runs that took effect or may have taken effect.
        int runs = 0;
    };

    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(m_random);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    void restart(int index)
    {
        auto &owner = m_owners[index];
        const auto incarnationNumber = owner.incarnationNumber + 1;
        owner = {};
        owner.incarnationNumber = incarnationNumber;
        owner.journal = std::make_unique<claim_journal>(0, daemon_id {"d" + std::to_string(index)}, incarnation {incarnationNumber}, m_limits);
    }

    void decide(int index, const journal_event &event)
    {
        auto &owner = m_owners[index];
        for (auto &action : owner.journal->decide(event, {m_now, m_wall})) {
            if (const auto *answer = std::get_if<answer_waiter>(&action)) {
                check(*answer);
            } else if (const auto *run = std::get_if<start_run>(&action)) {
                m_records[run->key.key.value].runs += 1;
                EXPECT_EQ(m_records[run->key.key.value].runs, 1) << "key " << run->key.key.value << " runs twice";
                EXPECT_TRUE(isAwaited(run->key.key.value)) << "key " << run->key.key.value << " runs after all its callers were answered";
                runs += 1;
                owner.running.push_back(run->key);
            } else if (const auto *removed = std::get_if<remove_segment>(&action)) {
                m_objects.erase(removed->key);
            } else {
                EXPECT_FALSE(owner.call.has_value()) << "two calls at once";
                owner.call = std::move(action);
            }
        }
    }

    bool isAwaited(const std::string &key) const
    {
        return std::any_of(m_waiters.begin(), m_waiters.end(), [&](const auto &entry) { return entry.second == key; });
    }

    void check(const answer_waiter &answer)
    {
        const auto key = m_waiters.at(answer.waiter);
        if (answer.outcome == run_outcome::not_run) {
            EXPECT_EQ(m_records[key].runs, 0) << "not_run is false for key " << key;
            notRun += 1;
        } else if (answer.outcome == run_outcome::done) {
            EXPECT_EQ(answer.body, "result of " + key);
            replays += 1;
        } else {
            unknown += 1;
        }
        m_waiters.erase(answer.waiter);
    }

    void runStep()
    {
        const int index = pick(owners);
        switch (pick(12)) {
        case 0:
        case 1:
        case 2: {
            const auto key = "k" + std::to_string(m_firstKey + pick(keys));
            m_waiters[m_nextWaiter] = key;
            decide(index, execute_requested {m_nextWaiter++, {{"c"}, {"s"}, {key}}, {1}, 36000, m_now + milliseconds {pick(3000)}});
            break;
        }
        case 3:
        case 4:
        case 5:
        case 6:
            answerCall(index);
            break;
        case 7:
        case 8:
            reportRun(index);
            break;
        case 9:
            m_now += milliseconds {chance(0.02) ? pick(8000) : pick(100)};
            decide(index, journal_timer_expired {});
            break;
        case 10:
            deliverLate();
            break;
        default:
            changeOwnership(index);
        }
        m_firstKey += chance(0.01) ? 1 : 0;
    }

    void copyOrRestore()
    {
        constexpr double copies = 0.01;
        if (chance(copies)) {
            m_copy = {m_objects, m_revision};
        }
        // Of a journal of which the copy has nothing, nobody can tell that it was lost.
        if (chance(m_restores) && !m_copy.objects.empty()) {
            m_objects = m_copy.objects;
            m_revision = m_copy.revision;
            m_era += 1;
            for (auto &[key, object] : m_objects) {
                object.etag = toString(store_revision {parseRevision(object.etag).number, m_era});
            }
        }
    }

    void changeOwnership(int index)
    {
        if (chance(0.02)) {
            restart(index);
        } else if (chance(0.2)) {
            decide(index, ownership_ended {});
        } else {
            decide(index, ownership_gained {});
        }
    }

    void reportRun(int index)
    {
        auto &owner = m_owners[index];
        if (owner.running.empty()) {
            return;
        }
        const auto key = owner.running.front();
        owner.running.pop_front();
        run_reported report {key, run_outcome::done, attempt_failure::none, "result of " + key.key.value};
        if (chance(0.2)) {
            report.outcome = run_outcome::not_run;
            m_records[key.key.value].runs -= 1;
        } else if (chance(0.1)) {
            report.outcome = run_outcome::unknown;
        }
        decide(index, report);
    }

    write_result apply(const write_segment &write)
    {
        const auto found = m_objects.find(write.key);
        const auto *version = std::get_if<if_version>(&write.condition);
        const bool holds = version == nullptr ? found == m_objects.end()
                                              : found != m_objects.end() && parseRevision(found->second.etag).number == parseRevision(version->etag).number;
        if (!holds) {
            return write_conflict {};
        }
        const auto etag = toString(store_revision {++m_revision, m_era});
        m_objects[write.key] = {etag, write.value};
        return object_written {etag};
    }

    // Applies a write after its writer was told write_unknown.
    void deliverLate()
    {
        if (!m_late.empty()) {
            apply(m_late.front());
            m_late.pop_front();
        }
    }

    void answerCall(int index)
    {
        auto &owner = m_owners[index];
        if (!owner.call) {
            return;
        }
        const auto call = *std::exchange(owner.call, std::nullopt);
        m_now += milliseconds {pick(5)};
        const bool down = chance(0.1);
        if (const auto *write = std::get_if<write_segment>(&call)) {
            decide(index, segment_written {down ? failedWrite(*write) : apply(*write)});
        } else if (const auto *read = std::get_if<read_segment>(&call)) {
            decide(index, segment_read {down ? read_result(platform_unavailable {}) : readObject(read->key)});
        } else {
            decide(index, down ? segments_listed {} : listObjects());
        }
    }

    write_result failedWrite(const write_segment &write)
    {
        if (chance(0.3)) {
            return platform_unavailable {};
        }
        if (chance(0.4)) {
            m_late.push_back(write);
        } else if (chance(0.7)) {
            apply(write);
        }
        return write_unknown {};
    }

    read_result readObject(const std::string &key)
    {
        const auto found = m_objects.find(key);
        if (found == m_objects.end()) {
            return object_not_found {};
        }
        return platform_object {key, found->second.etag, found->second.value};
    }

    segments_listed listObjects()
    {
        std::vector<platform_object> list;
        for (const auto &[key, object] : m_objects) {
            list.push_back({key, object.etag, object.value});
        }
        return {std::move(list), m_era};
    }

    std::mt19937_64 m_random;
    journal_limits m_limits {.segmentBytes = 2000, .batchBytes = 1000};
    monotonic_time m_now {seconds {100}};
    std::int64_t m_wall = 1000;
    std::map<int, owner_state> m_owners;
    std::map<std::string, stored> m_objects;
    std::deque<write_segment> m_late;
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 0;
    double m_restores = 0;
    store_copy m_copy;
    std::map<std::string, key_record> m_records;
    std::map<waiter_id, std::string> m_waiters;
    waiter_id m_nextWaiter = 1;
    std::uint64_t m_firstKey = 0;
};

} // namespace

class claim_fuzz_test : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(claim_fuzz_test, runsEachKeyAtMostOnceAndAnswersNotRunOnlyWhenTrue)
{
    claim_fuzz fuzz(GetParam());
    fuzz.run();
    // Every kind of answer must have occurred.
    EXPECT_GT(fuzz.runs, 100U);
    EXPECT_GT(fuzz.notRun, 100U);
    EXPECT_GT(fuzz.unknown, 100U);
    EXPECT_GT(fuzz.replays, 100U);
}

TEST(claim_restore_fuzz, runsEachKeyAtMostOnceThoughTheStoreComesBackFromCopies)
{
    constexpr int shortRun = 6000;
    constexpr double restores = 0.0005;
    std::uint64_t runs = 0;
    std::uint64_t replays = 0;
    for (std::uint64_t seed = 1; seed <= 300 && !testing::Test::HasFailure(); ++seed) {
        claim_fuzz fuzz(seed, restores);
        fuzz.run(shortRun);
        runs += fuzz.runs;
        replays += fuzz.replays;
    }
    EXPECT_GT(runs, 1000U);
    EXPECT_GT(replays, 1000U);
}

INSTANTIATE_TEST_SUITE_P(seeds, claim_fuzz_test, testing::Values(1, 2, 3, 4));
