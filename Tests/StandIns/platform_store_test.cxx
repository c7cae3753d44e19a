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

TEST(platform_store, givesLaterRevisionsOutAgainAfterACopyIsRestored)
{
    platform_store store;
    store.put("a/1", "x", {});
    store.put("a/2", "y", {});
    const auto copied = store.revision();
    store.put("a/1", "z", {});
    store.remove("a/2", {});
    store.put("a/3", "w", {});
    const auto latest = store.revision();
    store.restore(copied);
    EXPECT_EQ(store.era(), 2U);
    EXPECT_EQ(store.find("a/1")->value, "x");
    EXPECT_EQ(store.find("a/2")->value, "y");
    EXPECT_EQ(store.find("a/3"), nullptr);
    EXPECT_FALSE(store.eventsAfter("a/", latest).has_value()) << "it hasn't come so far";
    store.put("a/2", "other", {});
    EXPECT_EQ(store.revision(), copied + 1);
    EXPECT_EQ(store.eventsAfter("a/", copied)->size(), 1U);
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
