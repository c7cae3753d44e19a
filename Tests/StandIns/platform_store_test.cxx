#include "host_list.h"
#include "platform_store.h"

#include <gtest/gtest.h>

using namespace daisystile;

TEST(platform_store, writesOnlyIfTheConditionHolds)
{
    platform_store store;
    const auto first = std::get<std::string>(store.put("a/b", "1", {.ifAbsent = true}));
    EXPECT_EQ(store.put("a/b", "2", {.ifAbsent = true}), store_result(write_error::precondition_failed));
    EXPECT_EQ(store.put("a/c", "2", {.ifMatch = first}), store_result(write_error::precondition_failed));
    const auto second = std::get<std::string>(store.put("a/b", "2", {.ifMatch = first}));
    EXPECT_EQ(store.put("a/b", "3", {.ifMatch = first}), store_result(write_error::precondition_failed));
    EXPECT_EQ(store.remove("a/b", {.ifMatch = first}), store_result(write_error::precondition_failed));
    EXPECT_TRUE(std::holds_alternative<std::string>(store.remove("a/b", {.ifMatch = second})));
    EXPECT_EQ(store.find("a/b"), nullptr);
    EXPECT_EQ(store.put("x", std::string(platform_store::maximumValueBytes + 1, 'x'), {}), store_result(write_error::too_large));
}

TEST(platform_store, returnsEventsInOrderUntilCompacted)
{
    platform_store store;
    store.put("a/1", "x", {});
    store.put("b/1", "y", {});
    store.remove("a/1", {});
    const auto events = store.eventsAfter("a/", 0);
    ASSERT_EQ(events->size(), 2U);
    EXPECT_EQ(events->front().value, "x");
    EXPECT_FALSE(events->back().value.has_value());
    EXPECT_EQ(store.eventsAfter("a/", 1)->size(), 1U);
    store.compact();
    EXPECT_FALSE(store.eventsAfter("a/", 1).has_value());
    EXPECT_TRUE(store.eventsAfter("a/", store.revision())->empty());
}

TEST(host_list, showsChangesAfterTheLagAndNoneWhileFrozen)
{
    host_list hosts;
    monotonic_time now {seconds {10}};
    hosts.setLag(milliseconds {100});
    hosts.put(now, "a", "{}");
    EXPECT_TRUE(hosts.visible(now).empty());
    now += milliseconds {100};
    EXPECT_EQ(hosts.visible(now).size(), 1U);
    hosts.setFrozen(now, true);
    hosts.remove(now, "a");
    now += seconds {1};
    EXPECT_EQ(hosts.visible(now).size(), 1U);
    hosts.setFrozen(now, false);
    EXPECT_TRUE(hosts.visible(now).empty());
}
