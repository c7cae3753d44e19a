#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

/// A mirror with a simulated store.
class object_mirror_test : public testing::Test
{
protected:
    static platform_object object(const std::string &key, std::uint64_t revision)
    {
        return {key, std::to_string(revision), "value"};
    }

    mirror_action listed(std::vector<platform_object> objects, std::uint64_t revision)
    {
        return m_mirror.decide(mirror_listed {object_list {std::move(objects), {revision}}}, m_now);
    }

    mirror_action checked(std::vector<platform_object> objects, std::uint64_t revision)
    {
        return m_mirror.decide(mirror_checked {object_list {std::move(objects), {revision}}}, m_now);
    }

    mirror_action removed(const std::string &key, std::uint64_t revision)
    {
        return m_mirror.decide(mirror_watched {watch_batch {{{{revision}, object(key, revision), true}}, {revision}}}, m_now);
    }

    mirror_action lost()
    {
        return m_mirror.decide(mirror_watched {platform_unavailable {"down"}}, m_now);
    }

    object_mirror m_mirror {{.batchDelay = milliseconds {100}, .lapseGrace = milliseconds {2500}}, 1};
    monotonic_time m_now {seconds {100}};
};

TEST_F(object_mirror_test, readsThenWatchesAndBatchesChanges)
{
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(m_mirror.decide(reload_requested {}, m_now)));
    EXPECT_FALSE(m_mirror.known());
    EXPECT_EQ(std::get<watch_objects>(listed({object("a", 3)}, 7)).after, store_revision {7});
    EXPECT_TRUE(m_mirror.known());
    EXPECT_EQ(std::get<start_timer>(removed("a", 9)).delay, milliseconds {100});
    EXPECT_TRUE(m_mirror.objects().empty());
    EXPECT_EQ(std::get<watch_objects>(m_mirror.decide(mirror_timer {}, m_now)).after, store_revision {9});
}

TEST_F(object_mirror_test, reloadsAfterCompaction)
{
    listed({object("a", 3), object("b", 4)}, 7);
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(m_mirror.decide(mirror_watched {watch_compacted {}}, m_now)));
    listed({object("b", 8)}, 9);
    EXPECT_EQ(m_mirror.objects().size(), 1U);
}

// The store compacts its history while objects change, and the pending watch misses the changes.
TEST_F(object_mirror_test, detectsAWatchThatMissesChanges)
{
    listed({object("a", 3), object("b", 4)}, 7);
    EXPECT_TRUE(std::holds_alternative<no_action>(checked({object("a", 3), object("b", 4)}, 9)));
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(checked({object("a", 3), object("b", 8)}, 9))) << "changed";
    listed({object("a", 3), object("b", 8)}, 9);
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(checked({object("a", 3)}, 9))) << "removed";
    listed({object("a", 3)}, 9);
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(checked({object("a", 3), object("c", 10)}, 10))) << "added";
}

TEST_F(object_mirror_test, ignoresStaleListings)
{
    listed({object("a", 3), object("b", 8)}, 9);
    EXPECT_TRUE(std::holds_alternative<no_action>(checked({object("a", 3), object("b", 4)}, 6)));
    EXPECT_TRUE(std::holds_alternative<no_action>(checked({object("a", 3)}, 6))) << "b came later";
    EXPECT_TRUE(std::holds_alternative<no_action>(checked({object("a", 3), object("b", 8), object("gone", 2)}, 6)));
}

TEST_F(object_mirror_test, backsOffWhileTheStoreIsUnreachable)
{
    listed({object("a", 3)}, 7);
    milliseconds longest {0};
    for (int i = 0; i < 12; ++i) {
        longest = std::max(longest, std::get<start_timer>(lost()).delay);
    }
    EXPECT_TRUE(m_mirror.storeUnreachable());
    EXPECT_GT(longest, milliseconds {400});
    EXPECT_LE(longest, milliseconds {1000});
    EXPECT_EQ(m_mirror.objects().size(), 1U);
}

// Entries lapse during a store outage and are registered again within seconds of its end; they must stay in use meanwhile.
TEST_F(object_mirror_test, keepsEntriesThatLapsedDuringAnOutageForTheGraceTime)
{
    listed({object("a", 3), object("b", 4)}, 7);
    lost();
    m_now += seconds {5};
    removed("a", 8);
    removed("b", 9);
    EXPECT_EQ(m_mirror.objects().size(), 2U);
    m_now += seconds {1};
    m_mirror.decide(mirror_watched {watch_batch {{{{10}, object("a", 10), false}}, {10}}}, m_now);
    m_now += seconds {2};
    m_mirror.dropLapsed(m_now);
    EXPECT_EQ(m_mirror.objects().size(), 1U);
    EXPECT_TRUE(m_mirror.objects().contains("a"));
    removed("a", 12);
    EXPECT_TRUE(m_mirror.objects().empty()) << "the store has been back for long";
}

TEST_F(object_mirror_test, reloadsWhenAnotherWatchFoundCompaction)
{
    listed({object("a", 3)}, 7);
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(m_mirror.decide(reload_requested {}, m_now)));
    EXPECT_TRUE(std::holds_alternative<watch_objects>(listed({object("a", 9)}, 9)));
}

// The network to the store is cut, and the pending watch doesn't notice.
TEST_F(object_mirror_test, failedCheckMarksTheStoreUnreachable)
{
    listed({object("a", 3)}, 7);
    EXPECT_TRUE(std::holds_alternative<start_timer>(m_mirror.decide(mirror_checked {platform_unavailable {"timed out"}}, m_now)));
    EXPECT_TRUE(m_mirror.storeUnreachable());
    EXPECT_TRUE(std::holds_alternative<watch_objects>(m_mirror.decide(mirror_timer {}, m_now)));
}

TEST_F(object_mirror_test, appliesRelayedUpdatesButNotOlderOnes)
{
    m_mirror.decide(mirror_relayed {true, {9}, {object("a", 3), object("b", 8)}, {}}, m_now);
    EXPECT_TRUE(m_mirror.known());
    EXPECT_EQ(m_mirror.objects().size(), 2U);
    m_mirror.decide(mirror_relayed {false, {6}, {object("b", 5)}, {"b"}}, m_now);
    EXPECT_EQ(m_mirror.objects().at("b").etag, "8");
    m_mirror.decide(mirror_relayed {true, {12}, {object("b", 8), object("c", 11)}, {}}, m_now);
    EXPECT_FALSE(m_mirror.objects().contains("a"));
    EXPECT_TRUE(m_mirror.objects().contains("c"));
    EXPECT_EQ(m_mirror.revision(), store_revision {12});
}

// A daemon that is cut off from the store relays old objects to daemons that have newer ones; removed objects must not
// reappear.
TEST_F(object_mirror_test, removedObjectDoesNotReappearFromAStaleSource)
{
    listed({object("a", 3), object("b", 4)}, 7);
    removed("a", 9);
    m_mirror.decide(mirror_relayed {true, {8}, {object("a", 3), object("b", 4)}, {}}, m_now);
    EXPECT_FALSE(m_mirror.objects().contains("a"));
    m_mirror.decide(mirror_relayed {false, {10}, {object("a", 10)}, {}}, m_now);
    EXPECT_TRUE(m_mirror.objects().contains("a")) << "registered again";
}

/// The mirror of a store that comes back from copies.
class restored_mirror_test : public testing::Test
{
protected:
    static platform_object object(const std::string &key, const store_revision &revision, const std::string &value)
    {
        return {key, toString(revision), value};
    }

    mirror_action listed(std::vector<platform_object> objects, const store_revision &revision)
    {
        return m_mirror.decide(mirror_listed {object_list {std::move(objects), revision}}, m_now);
    }

    std::string valueOf(const std::string &key) const
    {
        const auto found = m_mirror.objects().find(key);
        return found == m_mirror.objects().end() ? "" : found->second.value;
    }

    static constexpr milliseconds grace {2500};
    object_mirror m_mirror {{.restoreGrace = grace}, 1};
    monotonic_time m_now {seconds {100}};
};

TEST_F(restored_mirror_test, takesTheSameRevisionOfAnotherEraForAnotherContent)
{
    listed({object("a", {7, 1}, "first")}, {9, 1});
    EXPECT_TRUE(std::holds_alternative<read_all_objects>(m_mirror.decide(mirror_watched {watch_batch {{}, {8, 2}}}, m_now))) << "a watch of another era";
    listed({object("a", {7, 2}, "second")}, {8, 2});
    EXPECT_EQ(valueOf("a"), "second");
    listed({object("a", {7, 1}, "first")}, {20, 1});
    m_mirror.decide(mirror_relayed {true, {30, 1}, {object("a", {30, 1}, "old")}, {}}, m_now);
    m_mirror.decide(mirror_watched {watch_batch {{{{21, 1}, object("a", {21, 1}, "old"), false}}, {21, 1}}}, m_now);
    EXPECT_EQ(valueOf("a"), "second") << "knowledge of an earlier era";
}

TEST_F(restored_mirror_test, takesARelayedEraOnlyAsAWhole)
{
    listed({object("a", {7, 1}, "first"), object("b", {8, 1}, "kept")}, {9, 1});
    m_mirror.decide(mirror_relayed {false, {7, 2}, {object("a", {7, 2}, "second")}, {}}, m_now);
    EXPECT_EQ(valueOf("a"), "first") << "what is left of the rest isn't known";
    m_mirror.decide(mirror_relayed {true, {8, 2}, {object("a", {7, 2}, "second"), object("b", {8, 1}, "older")}, {}}, m_now);
    EXPECT_EQ(valueOf("a"), "second");
    EXPECT_EQ(valueOf("b"), "kept");
    EXPECT_EQ(m_mirror.revision(), (store_revision {8, 2}));
}

// The second copy lacks the object too; it is written again up to two seconds after each return.
TEST_F(restored_mirror_test, keepsALostObjectUntilTheGraceTimeAfterTheLastReturn)
{
    listed({object("a", {7, 1}, "first")}, {9, 1});
    listed({}, {5, 2});
    m_now += seconds {2};
    listed({}, {4, 3});
    m_now += seconds {2};
    m_mirror.dropLapsed(m_now);
    EXPECT_EQ(valueOf("a"), "first") << "the second return was two seconds ago";
    m_now += grace;
    m_mirror.dropLapsed(m_now);
    EXPECT_TRUE(m_mirror.objects().empty()) << "nobody wrote it again";
}
