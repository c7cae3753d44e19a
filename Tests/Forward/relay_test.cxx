#include <Forward/forward.h>
#include <Forward/relay_choice.h>
#include <Forward/relay_link.h>

#include <gtest/gtest.h>

using namespace daisystile;

static fleet_daemon daemonIn(const std::string &id, const std::string &domain)
{
    return {{id}, {domain}, {"10.0.0.1", 7740}};
}

class relay_choice_test : public testing::Test
{
protected:
    relay_source choose(const std::string &id)
    {
        return chooseRelaySource(m_fleet, daemonIn(id, "port"), m_failed, m_now);
    }

    std::vector<fleet_daemon> m_fleet {daemonIn("p1", "port"), daemonIn("p2", "port"), daemonIn("p3", "port"), daemonIn("a1", "medina")};
    failed_sources m_failed;
    monotonic_time m_now {seconds {100}};
};

TEST_F(relay_choice_test, oneDaemonOfADomainFollowsTheStore)
{
    EXPECT_EQ(choose("p1"), relay_source(use_store {}));
    EXPECT_EQ(choose("p2"), relay_source(use_daemon {m_fleet[0]}));
    EXPECT_EQ(choose("p3"), relay_source(use_daemon {m_fleet[0]}));
}

TEST_F(relay_choice_test, fallsBackToTheSecondDaemonAndThenToTheStore)
{
    m_failed[{"p1"}] = m_now + seconds {5};
    EXPECT_EQ(choose("p2"), relay_source(use_store {}));
    EXPECT_EQ(choose("p3"), relay_source(use_daemon {m_fleet[1]}));
    m_failed[{"p2"}] = m_now + seconds {5};
    EXPECT_EQ(choose("p3"), relay_source(use_store {}));
    m_now += seconds {6};
    EXPECT_EQ(choose("p3"), relay_source(use_daemon {m_fleet[0]}));
}

TEST_F(relay_choice_test, prefersTheStrongestDaemon)
{
    m_fleet[2].strength = 4;
    EXPECT_EQ(choose("p3"), relay_source(use_store {}));
    EXPECT_EQ(choose("p1"), relay_source(use_daemon {m_fleet[2]}));
    m_failed[{"p3"}] = m_now + seconds {5};
    EXPECT_EQ(choose("p2"), relay_source(use_daemon {m_fleet[0]}));
}

// The store rejects the first daemon of a domain for a long time: followers that reach the store must not return to it.
TEST(source_reachability, isUnusableIfOnlyTheFollowerReachesTheStore)
{
    EXPECT_FALSE(isUsable({.followsStore = true, .reachesStore = true, .sourceReachesStore = false}));
    EXPECT_TRUE(isUsable({.followsStore = true, .reachesStore = true, .sourceReachesStore = true}));
    EXPECT_TRUE(isUsable({.followsStore = true, .reachesStore = false, .sourceReachesStore = false}));
    EXPECT_TRUE(isUsable({.followsStore = false, .reachesStore = false, .sourceReachesStore = false}));
}

// A follower loses its source while it reads a new configuration, and finds another source at once: it must read again.
TEST(revision_request, isDueAgainAfterACancelledRead)
{
    revision_request request;
    EXPECT_TRUE(request.due({28}, {27}));
    EXPECT_FALSE(request.due({28}, {27})) << "the read is under way";
    request.cancelled();
    EXPECT_TRUE(request.due({28}, {27}));
    EXPECT_FALSE(request.due({28}, {28}));
    EXPECT_TRUE(request.due({29}, {28}));
    EXPECT_FALSE(request.due({27}, {28}));
}

TEST(sent_objects, returnsEachChangeOnce)
{
    object_mirror mirror({}, 1);
    sent_objects sent;
    mirror.decide(mirror_listed {object_list {{{"a", "1", "x"}, {"b", "2", "y"}}, {5}}}, {});
    const auto first = sent.changes(mirror);
    EXPECT_EQ(first.objects.size(), 2U);
    EXPECT_TRUE(sent.changes(mirror).objects.empty());
    mirror.decide(mirror_listed {object_list {{{"b", "7", "z"}}, {8}}}, {});
    const auto second = sent.changes(mirror);
    EXPECT_EQ(second.removed, std::vector<std::string> {"a"});
    ASSERT_EQ(second.objects.size(), 1U);
    EXPECT_EQ(second.objects[0].value, "z");
    EXPECT_EQ(second.revision, store_revision {8});
    EXPECT_TRUE(allOf(mirror).whole);
    EXPECT_EQ(allOf(mirror).objects.size(), 1U);
}

TEST(sent_objects, sendsAllObjectsOfANewEra)
{
    object_mirror mirror({.restoreGrace = seconds {1}}, 1);
    sent_objects sent;
    mirror.decide(mirror_listed {object_list {{{"a", "1.1", "x"}, {"b", "1.2", "y"}}, {5, 1}}}, {});
    sent.changes(mirror);
    EXPECT_FALSE(sent.changes(mirror).whole);
    mirror.decide(mirror_listed {object_list {{{"a", "2.1", "x"}}, {3, 2}}}, {});
    const auto changed = sent.changes(mirror);
    EXPECT_TRUE(changed.whole);
    EXPECT_EQ(changed.revision, (store_revision {3, 2}));
    EXPECT_EQ(changed.objects.size(), 2U) << "also what is about to be written again";
    relay_update update {.era = 2, .servers = changed};
    const auto read = decodeRelayUpdate(encodeRelayUpdate(update));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->era, 2U);
    EXPECT_EQ(read->servers.revision, (store_revision {3, 2}));
}

TEST(relay_update, roundTripsAndRejectsTruncatedBytes)
{
    relay_update update {
        .configurationRevision = {9}, .servers = {true, {7}, {{"servers/a", "3", "{}"}}, {"servers/b"}}, .fleet = {{"d1", "port", "1.1.1.1:2", "", 0.5}}};
    const auto bytes = encodeRelayUpdate(update);
    const auto read = decodeRelayUpdate(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->servers.objects.at(0).key, "servers/a");
    EXPECT_EQ(read->configurationRevision, store_revision {9});
    const auto fleet = toFleet(read->fleet);
    ASSERT_EQ(fleet.size(), 1U);
    EXPECT_EQ(fleet[0].peers.port, 2);
    EXPECT_EQ(fleet[0].queries.port, 0);
    EXPECT_EQ(fleet[0].strength, 0.5);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeRelayUpdate(std::string_view(bytes).substr(0, length))) << length;
    }
}

TEST(relay_link, updatesFollowersAndFailsWhenTheSourceIsSilent)
{
    reactor loop;
    bool known = false;
    relay_server server(
        loop, {{{"p1"}, {1}}, "a key of the daemons"}, [&] { return known ? std::optional(relay_update {.configurationRevision = {1}}) : std::nullopt; });
    const ip_address address {"127.0.0.1", 0};
    std::unique_ptr<tcp_listener> probe = tcp_listener::listen(loop, address, [](int) {}).value();
    const auto free = probe->address();
    probe.reset();
    bool listens = false;
    server.listen(free, [&](bool listensNow) { listens = listensNow; });
    ASSERT_TRUE(listens);
    std::vector<store_revision> revisions;
    bool failed = false;
    relay_client client(loop,
        free,
        {{{"p2"}, {2}}, "a key of the daemons"},
        {.updated = [&](const relay_update &update) { revisions.push_back(update.configurationRevision); },
            .failed =
                [&] {
                    failed = true;
                    loop.stop();
                }});
    loop.after(milliseconds {100}, [&] { server.broadcast({.configurationRevision = {5}}); });
    loop.after(milliseconds {200}, [&] {
        known = true;
        server.broadcast({.configurationRevision = {6}});
    });
    loop.after(milliseconds {300}, [&] { server.broadcast({.configurationRevision = {7}}); });
    loop.after(seconds {10}, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(failed);
    EXPECT_EQ(revisions, (std::vector<store_revision> {{1}, {7}})) << "nothing before it was known, and the whole first";
}
