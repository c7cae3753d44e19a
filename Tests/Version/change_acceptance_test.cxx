#include <Version/version.h>

#include <gtest/gtest.h>

#include <deque>
#include <random>

using namespace daisystile;

namespace {

const config_object benSalah {config_kind::contract, "ben-salah"};
const monotonic_time start {};

/// In-memory stand-in for the platform: objects with conditional writes.
class object_store
{
public:
    read_result get(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? read_result(object_not_found {}) : read_result(found->second);
    }

    write_result put(const write_object &write)
    {
        const auto found = m_objects.find(write.key);
        const auto *version = std::get_if<if_version>(&write.condition);
        const bool absent = found == m_objects.end();
        if (version != nullptr ? absent || found->second.etag != version->etag : !absent) {
            return write_conflict {};
        }
        m_objects[write.key] = {write.key, std::to_string(++m_revision), write.value};
        return object_written {std::to_string(m_revision)};
    }

    /// The change ids accepted for an object, newest first.
    std::vector<std::string> chain(const config_object &object) const
    {
        std::vector<std::string> ids;
        const auto head = get(headKey);
        if (std::holds_alternative<object_not_found>(head)) {
            return ids;
        }
        const auto parsedHead = std::get<config_head>(parseHead(std::get<platform_object>(head).value));
        const auto entry = parsedHead.entries.find(object);
        auto change = entry == parsedHead.entries.end() ? change_id {} : entry->second.change;
        while (!change.value.empty()) {
            ids.push_back(change.value);
            change = std::get<config_record>(parseRecord(std::get<platform_object>(get(recordKey(object, change))).value)).previous;
        }
        return ids;
    }

private:
    std::map<std::string, platform_object> m_objects;
    std::uint64_t m_revision = 0;
};

change_request changeOf(const std::string &id, std::uint64_t expected, const std::string &text = "text")
{
    return {benSalah, {id}, {expected}, "amel", 1700000000, text};
}

change_outcome runToOutcome(object_store &store, change_request request)
{
    change_acceptance change(std::move(request), start + seconds {1});
    auto action = change.decide(change_started {}, start);
    while (!std::holds_alternative<change_outcome>(action)) {
        if (const auto *read = std::get_if<read_object>(&action)) {
            action = change.decide(store.get(read->key), start);
        } else if (const auto *write = std::get_if<write_object>(&action)) {
            action = change.decide(store.put(*write), start);
        } else {
            action = change.decide(retry_due {}, start);
        }
    }
    return std::get<change_outcome>(action);
}

/// Operators whose changes run interleaved against one store. The store loses answers, applies writes late and is
/// temporarily unavailable.
class concurrent_operators
{
public:
    explicit concurrent_operators(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void step()
    {
        m_now += milliseconds {m_random() % 20};
        if (!m_delayedWrites.empty() && chance(20)) {
            m_store.put(m_delayedWrites.front());
            m_delayedWrites.pop_front();
        }
        if (m_attempts.size() < maxConcurrentAttempts) {
            begin();
        }
        advance(m_attempts[m_random() % m_attempts.size()]);
        std::erase_if(m_attempts, [](const attempt &one) { return one.done; });
    }

    void verify()
    {
        for (const auto &write : m_delayedWrites) {
            m_store.put(write);
        }
        const auto chain = m_store.chain(benSalah);
        const std::set<std::string> accepted(chain.begin(), chain.end());
        EXPECT_EQ(accepted.size(), chain.size()) << "a change was accepted twice";
        for (const auto &[id, outcomes] : m_outcomes) {
            EXPECT_TRUE(!outcomes.accepted || accepted.count(id) == 1) << id << " was accepted but is lost";
            EXPECT_TRUE(outcomes.accepted || outcomes.unknown || accepted.count(id) == 0) << id << " was rejected but is in force";
        }
        EXPECT_GT(accepted.size(), 100U);
    }

private:
    struct attempt
    {
        std::string id;
        change_acceptance change;
        change_action action;
        bool done = false;
    };

    struct observed_outcome
    {
        bool accepted = false;
        /// The last attempt returned change_unknown or is still running.
        bool unknown = true;
    };

    static constexpr std::size_t maxConcurrentAttempts = 3;

    bool chance(unsigned oneIn)
    {
        return m_random() % oneIn == 0;
    }

    std::uint64_t newestVersion() const
    {
        const auto head = m_store.get(headKey);
        const auto *object = std::get_if<platform_object>(&head);
        return object == nullptr ? 0 : std::get<config_head>(parseHead(object->value)).number;
    }

    void begin()
    {
        auto request = changeOf("change-" + std::to_string(m_outcomes.size()), newestVersion() - (chance(4) && m_outcomes.size() > 9 ? 1 : 0));
        if (!m_pendingResends.empty() && chance(2)) {
            request = m_pendingResends.front();
            request.resent = true;
            m_pendingResends.pop_front();
        }
        m_requests[request.change.value] = request;
        m_outcomes[request.change.value].unknown = true;
        change_acceptance change(request, m_now + milliseconds {400});
        auto action = change.decide(change_started {}, m_now);
        m_attempts.push_back({request.change.value, std::move(change), std::move(action)});
    }

    write_result write(const write_object &object)
    {
        switch (m_random() % 12) {
        case 0:
            return platform_unavailable {"down"};
        case 1:
            return write_unknown {"lost before it was applied"};
        case 2:
            m_store.put(object);
            return write_unknown {"applied, answer lost"};
        case 3:
            m_delayedWrites.push_back(object);
            return write_unknown {"applied later"};
        default:
            return m_store.put(object);
        }
    }

    void advance(attempt &one)
    {
        if (const auto *read = std::get_if<read_object>(&one.action)) {
            one.action = one.change.decide(chance(15) ? read_result(platform_unavailable {"down"}) : m_store.get(read->key), m_now);
        } else if (const auto *object = std::get_if<write_object>(&one.action)) {
            one.action = one.change.decide(write(*object), m_now);
        } else if (std::holds_alternative<wait_before_retry>(one.action)) {
            one.action = one.change.decide(retry_due {}, m_now);
        } else {
            end(one);
        }
    }

    void end(attempt &one)
    {
        const auto &outcome = std::get<change_outcome>(one.action);
        auto &observed = m_outcomes[one.id];
        observed.accepted = observed.accepted || std::holds_alternative<change_accepted>(outcome);
        observed.unknown = std::holds_alternative<change_unknown>(outcome);
        if (observed.unknown || (observed.accepted && chance(3))) {
            m_pendingResends.push_back(m_requests[one.id]);
        }
        one.done = true;
    }

    std::mt19937_64 m_random;
    monotonic_time m_now = start;
    object_store m_store;
    std::vector<attempt> m_attempts;
    std::deque<write_object> m_delayedWrites;
    std::deque<change_request> m_pendingResends;
    std::map<std::string, change_request> m_requests;
    std::map<std::string, observed_outcome> m_outcomes;
};

} // namespace

TEST(change_acceptance, incrementsVersionsAndReportsBothTextsOfAConflict)
{
    object_store store;
    EXPECT_EQ(std::get<change_accepted>(runToOutcome(store, changeOf("a", 0, "first"))).record.version.value, 1U);
    EXPECT_EQ(std::get<change_accepted>(runToOutcome(store, changeOf("b", 1, "second"))).head.number, 2U);
    const auto conflict = std::get<change_conflict>(runToOutcome(store, changeOf("c", 1, "third")));
    EXPECT_EQ(conflict.current.text, "second");
    EXPECT_EQ(conflict.offered, "third");
    EXPECT_TRUE(std::holds_alternative<change_rejected>(runToOutcome(store, {{config_kind::service, "x"}, {"d"}, {4}, "amel", 0, "t"})));
}

TEST(change_acceptance, recognizesAResendAsTheSameChange)
{
    object_store store;
    runToOutcome(store, changeOf("a", 0, "first"));
    runToOutcome(store, changeOf("b", 1, "second"));
    runToOutcome(store, changeOf("c", 2, "third"));
    const auto again = std::get<change_accepted>(runToOutcome(store, changeOf("a", 0, "first")));
    EXPECT_TRUE(again.resent);
    EXPECT_EQ(again.record.version.value, 1U);
    EXPECT_EQ(store.chain(benSalah), (std::vector<std::string> {"c", "b", "a"}));
    EXPECT_TRUE(std::holds_alternative<change_rejected>(runToOutcome(store, changeOf("a", 0, "other"))));
}

TEST(change_acceptance, readsBackTheOutcomeAfterALostAnswer)
{
    object_store store;
    change_acceptance change(changeOf("a", 0), start + seconds {1});
    auto action = change.decide(change_started {}, start);
    action = change.decide(store.get(std::get<read_object>(action).key), start);
    action = change.decide(store.get(std::get<read_object>(action).key), start);
    action = change.decide(store.put(std::get<write_object>(action)), start);
    store.put(std::get<write_object>(action));
    action = change.decide(write_result(write_unknown {"lost"}), start);
    EXPECT_TRUE(std::holds_alternative<wait_before_retry>(action));
    action = change.decide(retry_due {}, start);
    action = change.decide(store.get(std::get<read_object>(action).key), start);
    action = change.decide(store.get(std::get<read_object>(action).key), start);
    EXPECT_TRUE(std::holds_alternative<change_accepted>(std::get<change_outcome>(action)));
}

TEST(change_acceptance, reportsUnknownOnlyIfTheHeadMayHaveChanged)
{
    const read_result down = platform_unavailable {"down"};
    for (const bool headSent : {false, true}) {
        object_store store;
        change_acceptance change(changeOf("a", 0), start + milliseconds {10});
        auto action = change.decide(change_started {}, start);
        if (headSent) {
            action = change.decide(store.get(std::get<read_object>(action).key), start);
            action = change.decide(store.get(std::get<read_object>(action).key), start);
            action = change.decide(store.put(std::get<write_object>(action)), start);
            action = change.decide(write_result(write_unknown {"lost"}), start);
        } else {
            action = change.decide(down, start);
        }
        EXPECT_EQ(std::holds_alternative<change_unknown>(std::get<change_outcome>(action)), headSent);
    }
}

TEST(change_acceptance, neverLosesOrRevertsAChangeUnderConcurrentOperators)
{
    constexpr std::uint64_t firstSeed = 1;
    constexpr std::uint64_t lastSeed = 4;
    constexpr int stepsPerSeed = 100000;
    for (auto seed = firstSeed; seed <= lastSeed; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        concurrent_operators operators(seed);
        for (int step = 0; step < stepsPerSeed; ++step) {
            operators.step();
        }
        operators.verify();
    }
}
