#include "Connection/connection.h"

#include <gtest/gtest.h>

using namespace daisystile;

static member daemonAt(const std::string &id, const std::string &domain, const std::string &region = "south")
{
    member daemon;
    daemon.id = {id};
    daemon.domain = {domain};
    daemon.region = {region};
    return daemon;
}

static const member *ownerIn(int server, const std::vector<member> &members)
{
    return chooseOwner({"s" + std::to_string(server)}, {"a"}, {"south"}, members).owner;
}

TEST(owner_map, movesOnlyTheServersOfTheDaemonThatLeft)
{
    std::vector<member> members;
    members.reserve(8);
    for (int i = 0; i < 8; ++i) {
        members.push_back(daemonAt("d" + std::to_string(i), "a"));
    }
    auto fewer = members;
    fewer[3].state = member_state::leaving;
    std::map<std::string, int> owned;
    for (int i = 0; i < 800; ++i) {
        const auto before = chooseOwner({"s" + std::to_string(i)}, {"a"}, {"south"}, members);
        const auto *after = ownerIn(i, fewer);
        ++owned[before.owner->id.value];
        EXPECT_EQ(after->id, before.owner->id.value == "d3" ? before.runnerUp->id : before.owner->id);
    }
    for (const auto &[id, count] : owned) {
        EXPECT_GT(count, 50) << id;
    }
}

TEST(owner_map, prefersTheDomainThenTheRegion)
{
    const std::vector<member> members {daemonAt("d1", "a"), daemonAt("d2", "b"), daemonAt("d3", "c", "north")};
    const auto choice = chooseOwner({"s"}, {"a"}, {"south"}, members);
    EXPECT_EQ(choice.owner->id.value, "d1");
    EXPECT_EQ(choice.runnerUp->id.value, "d2");
    const std::vector<member> others {members[1], members[2]};
    EXPECT_EQ(ownerIn(1, others)->id.value, "d2");
    EXPECT_EQ(ownerIn(1, {members[2]}), nullptr);
}

TEST(owner_map, agreesWithOwnerOf)
{
    auto config = std::make_shared<configuration>();
    config->domains[{"a"}] = {{"a"}, {"south"}};
    auto desk = std::make_shared<service>();
    for (int i = 0; i < 50; ++i) {
        desk->servers.push_back({{"s" + std::to_string(i)}, {"a"}});
    }
    config->services[{"desk"}] = desk;
    auto view = std::make_shared<fleet_view>();
    view->config = config;
    view->members = {daemonAt("d1", "a"), daemonAt("d2", "a"), daemonAt("d3", "a")};
    view->members[2].state = member_state::dead;
    const owner_map map(view);
    for (const auto &server : desk->servers) {
        EXPECT_EQ(map.ownerOf(server.id), ownerOf(server, {"south"}, view->members));
        EXPECT_NE(map.ownerOf(server.id)->id.value, "d3");
    }
    EXPECT_EQ(map.ownerOf({"unknown"}), nullptr);
}
