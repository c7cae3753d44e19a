#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

fleet_daemon daemonIn(const std::string &id, const std::string &domain)
{
    return {{id}, {domain}, {"10.0.0.1", 7740}, {"10.0.0.1", 7741}, 1};
}

/// A view with one query over this many shards, all of whose servers are in the domain "medina".
routing_snapshot viewOf(unsigned shards)
{
    routing_configuration configuration;
    configuration.version = {shards};
    shards_target target;
    auto catalog = std::make_shared<server_catalog>();
    for (unsigned i = 0; i < shards; ++i) {
        const service_name service {"shard-" + std::to_string(i)};
        target.shards.push_back(service);
        catalog->byService[service].push_back({.id = {"s" + std::to_string(i)}, .service = service, .domain = {"medina"}});
    }
    configuration.routes.push_back({.name = {"find"}, .host = "h", .pathPrefix = "/", .target = target});
    routing_snapshot view;
    view.routes = std::make_shared<route_table>(std::move(configuration));
    view.servers = std::move(catalog);
    view.fleet = {daemonIn("d1", "port"), daemonIn("d2", "medina")};
    return view;
}

entry_settings settingsOf(const std::string &id, const std::string &domain)
{
    entry_settings settings;
    settings.id = {id};
    settings.domain = {domain};
    settings.queries = {"10.0.0.1", 7741};
    return settings;
}

} // namespace

TEST(coordinator_table, sendsPartsWithoutALocalServerToAnotherDomain)
{
    const auto view = viewOf(3);
    coordinator_table table(settingsOf("d1", "port"));
    table.update(view);
    const auto &groups = table.remoteParts(*view.routes, {"find"});
    ASSERT_EQ(groups.size(), 1U);
    EXPECT_EQ(groups[0], (remote_parts {{"medina"}, {0, 1, 2}}));
    EXPECT_EQ(table.remoteDomains().size(), 1U);
    coordinator_table other(settingsOf("d2", "medina"));
    other.update(view);
    EXPECT_TRUE(other.remoteParts(*view.routes, {"find"}).empty());
}

// The index was cut into more shards while an offer was open; when it was declined, parts that the query doesn't have were
// written to and the process ended (pecan-daisystile-grown hunt-4bc4-3).
TEST(coordinator_table, hasNoPartsForARouteOfAnEarlierConfiguration)
{
    const auto before = viewOf(3);
    const auto after = viewOf(5);
    coordinator_table table(settingsOf("d1", "port"));
    table.update(before);
    table.update(after);
    EXPECT_TRUE(table.remoteParts(*before.routes, {"find"}).empty());
    EXPECT_EQ(table.remoteParts(*after.routes, {"find"})[0].parts.size(), 5U);
}

// A daemon that had not read the fleet took the whole share of each limit.
TEST(coordinator_table, takesASmallShareUntilTheFleetIsKnown)
{
    auto view = viewOf(3);
    view.fleet = {daemonIn("d2", "medina")};
    view.fleetKnown = false;
    coordinator_table table(settingsOf("d2", "medina"));
    table.update(view);
    constexpr double smallShare = 1.0 / 1000;
    for (const auto &[service, servers] : view.servers->byService) {
        EXPECT_LT(table.sendersOf(service).limitShare, smallShare);
        EXPECT_EQ(table.positionAt(servers.front()).rank, std::nullopt);
        EXPECT_GE(table.positionAt(servers.front()).candidates, 1000U);
    }
    EXPECT_LT(table.sendersOf({"other"}).limitShare, smallShare);
    view.fleetKnown = true;
    table.update(view);
    EXPECT_EQ(table.sendersOf({"other"}).limitShare, 1);
    EXPECT_EQ(table.positionAt(view.servers->byService.begin()->second.front()).rank, 0U);
}
