#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

static route routeTo(const std::string &name, const std::string &host, const std::string &prefix)
{
    route entry;
    entry.name.value = name;
    entry.host = host;
    entry.pathPrefix = prefix;
    entry.target = single_target {{"logbook"}};
    return entry;
}

TEST(route_table, takesTheLongestPrefixOfTheHost)
{
    routing_configuration configuration;
    configuration.routes = {routeTo("short", "a.example", "/x/"), routeTo("long", "A.example", "/x/y/"), routeTo("other", "b.example", "/")};
    const route_table table(configuration);
    EXPECT_EQ(table.match("a.example", "/x/y/z")->name.value, "long");
    EXPECT_EQ(table.match("A.EXAMPLE:8080", "/x/z?q=/x/y/")->name.value, "short");
    EXPECT_EQ(table.match("a.example", "/x"), nullptr);
    EXPECT_EQ(table.match("c.example", "/"), nullptr);
}

TEST(weighted_round_robin, distributesByWeightOverShortPeriods)
{
    weighted_round_robin scheduler;
    const std::vector<weighted_service> services {{{"a"}, 3}, {{"b"}, 1}};
    for (int round = 0; round < 5; ++round) {
        int first = 0;
        for (int i = 0; i < 4; ++i) {
            first += scheduler.next(services) == 0 ? 1 : 0;
        }
        EXPECT_EQ(first, 3);
    }
    EXPECT_EQ(scheduler.next({{{"a"}, 0}}), 0U);
}

TEST(greatestRecords, mergesBytewiseAndKeepsEqualRecords)
{
    const std::string low(16, '\x01');
    const std::string high(16, '\xff');
    const std::string mid(16, 'm');
    const auto first = low + high + "rest";
    const auto second = mid + high;
    EXPECT_EQ(greatestRecords({first, second}, 3), high + high + mid);
    EXPECT_EQ(greatestRecords({first, second}, 9), high + high + mid + low);
    EXPECT_EQ(greatestRecords({"short"}, 3), "");
}
