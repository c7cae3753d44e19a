#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

suspect_record recordOf(const char *path, std::uint64_t crashes, std::uint64_t cleared = 0)
{
    return {digestOf("host", "GET", path, {}), crashes, cleared, {{"logbook"}, {"board"}}};
}

} // namespace

TEST(suspectsText, isReadBack)
{
    const std::vector<suspect_record> records {recordOf("/a", 3), recordOf("/b", 2, 2)};
    EXPECT_EQ(parseSuspects(suspectsText(records)), records);
    EXPECT_EQ(parseSuspects(suspectsText({})), std::vector<suspect_record> {});
}

TEST(suspectsText, namesTheServersAndReadsRecordsWithoutNames)
{
    auto named = recordOf("/a", 1);
    named.servers = {{{"s1"}, 1}, {{"s2"}, 2}};
    EXPECT_EQ(parseSuspects(suspectsText({named})), std::vector {named});
    const auto unnamed = R"({"suspects":[{"request":")" + toString(named.request) + R"(","crashes":1,"cleared":0,"services":["board","logbook"]}]})";
    EXPECT_EQ(parseSuspects(unnamed), std::vector {recordOf("/a", 1)});
}

TEST(parseSuspects, leavesOutWhatAnotherWriterHasSpoiled)
{
    EXPECT_EQ(parseSuspects("{"), std::nullopt);
    EXPECT_EQ(parseSuspects("[]"), std::nullopt);
    EXPECT_EQ(parseSuspects(R"({"suspects":1})"), std::nullopt);
    const auto good = recordOf("/a", 3);
    auto text = suspectsText({good});
    text.insert(text.find('[') + 1, R"(null,{},{"request":"x","crashes":1,"cleared":0,"services":[]},{"request":1,"crashes":-1,"cleared":0,"services":[]},)");
    EXPECT_EQ(parseSuspects(text), std::vector {good});
}

TEST(suspectsWriteDelay, sharesRepeatedCrashesAtOnceAndFirstOnesSoon)
{
    constexpr milliseconds longAgo {100000};
    EXPECT_EQ(suspectsWriteDelay({recordOf("/a", 2)}, longAgo, 8), milliseconds {0});
    EXPECT_EQ(suspectsWriteDelay({recordOf("/a", 1)}, longAgo, 8), milliseconds {250});
}

// The store takes 400 writes a second from the whole fleet, and all daemons must know within 4 s.
TEST(suspectsWriteDelay, boundsTheWritesOfAFleetInWhichAllDaemonsSeeServersEnd)
{
    for (const std::size_t daemons : {8U, 65U, 295U, 1100U}) {
        const auto interval = suspectsWriteDelay({recordOf("/a", 2)}, milliseconds {0}, daemons);
        EXPECT_LE(static_cast<double>(daemons) / std::chrono::duration<double>(interval).count(), 400.0) << daemons;
        EXPECT_LE(interval, milliseconds {3000}) << daemons;
    }
}

// Other daemons keep a lost quarantine only for the time in which its owner can write it again.
TEST(suspect_board, writesWhatARestoredStoreMayLackBeforeTheOthersForgetIt)
{
    reactor loop;
    int writes = 0;
    const auto server = http_server::listen(loop, {"127.0.0.1", 0}, [&](const http_request &, const http_responder &respond) {
        writes += 1;
        respond({.body = R"({"meta":{"name":"d1","revision":1}})", .headers = {{"Store-Era", std::to_string(writes)}}});
        loop.stop();
    }).value();
    http_client http(loop);
    platform_client store(http, {.platform = server->address(), .domain = {"port"}});
    suspect_board board(loop, store, entry_settings {.id = {"d1"}}, [] {});
    const std::vector<suspect_record> records {recordOf("/a", 3)};
    board.share(records);
    loop.after(seconds {10}, [&] { loop.stop(); });
    loop.run();
    ASSERT_EQ(writes, 1);
    board.objects().takeRelayed({true, {1, 1}, {{"daisystile-suspects/d1", "1.1", suspectsText(records)}}, {}});
    store.learnEra(2);
    board.writeAgain();
    loop.run();
    EXPECT_EQ(writes, 2);
}
