#include <Process/process.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const monotonic_time start {seconds {1000}};
const monotonic_time later = start + seconds {10};

} // namespace

TEST(memory_relief, closesWhatHoldsMostForLongestWithLeastProgress)
{
    const memory_holder stalled {1, 260000, start, start};
    const memory_holder slow {2, 260000, start, later};
    const memory_holder ordinary {3, 260000, later - milliseconds {50}, later};
    const memory_holder small {4, 2000, start, start};
    const std::vector<memory_holder> all {small, ordinary, slow, stalled};
    EXPECT_EQ(connectionsToClose(all, 1, later), std::vector<std::uint64_t>({1}));
    EXPECT_EQ(connectionsToClose(all, 260001, later), std::vector<std::uint64_t>({1, 2}));
    EXPECT_EQ(connectionsToClose(all, 520001, later), std::vector<std::uint64_t>({1, 2, 4}));
}

TEST(memory_relief, findsRoomWhereNothingGoesOnForLongest)
{
    const memory_holder stalled {1, 20, start, start};
    const memory_holder laterStalled {2, 20, start, start + seconds {1}};
    const memory_holder goesOn {3, 260000, start, later - milliseconds {100}};
    const std::vector<memory_holder> all {goesOn, laterStalled, stalled};
    constexpr milliseconds minStall {500};
    EXPECT_EQ(stalledConnections(all, 1, minStall, later), std::vector<std::uint64_t>({1}));
    EXPECT_EQ(stalledConnections(all, 3, minStall, later), std::vector<std::uint64_t>({1, 2}));
    EXPECT_TRUE(stalledConnections({goesOn}, 3, minStall, later).empty());
}

TEST(memory_relief, leavesAClientThatIsAlone)
{
    EXPECT_TRUE(connectionsToClose({{1, 260000, start, start}}, 1U << 30U, later).empty());
    EXPECT_TRUE(connectionsToClose({}, 1U << 30U, later).empty());
    EXPECT_TRUE(mayStartRequest(true, 0));
    EXPECT_FALSE(mayStartRequest(true, 1));
    EXPECT_TRUE(mayStartRequest(false, 1000));
}

TEST(memory_account, countsByKindAndAsksForRoomOnceItIsExceeded)
{
    memory_account account(800);
    memory_charge input(account, memory_kind::input);
    input.set(500);
    {
        memory_charge output(account, memory_kind::output);
        output.set(300);
        EXPECT_EQ(account.excessBytes(), 0U);
        output.add(1);
        EXPECT_EQ(account.usedBytes(memory_kind::output), 301U);
        EXPECT_EQ(account.excessBytes(), 101U) << "an eighth of the budget is to be free again";
    }
    EXPECT_EQ(account.usedBytes(), 500U);
    EXPECT_FALSE(account.exceeded());
}
