#include "plain_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

std::string entryWith(const std::string &capacity)
{
    return R"({"service":"logbook","address":"127.0.0.1:9","zone":"medina","version":"v1","capacity":)" + capacity
        + R"(,"state":"ready","warmup_left_ms":0,"sequence":1})";
}

std::string deeplyNested()
{
    constexpr std::size_t levels = 200'000;
    return entryWith(std::string(levels, '[') + std::string(levels, ']'));
}

/// Objects that other writers leave in the store, in each kind that the daemons follow.
class foreign_objects : public testing::Test
{
protected:
    void putIntoEachKind(const std::string &value)
    {
        for (const auto *kind : {"servers", "evacuations", "config", "daisystile-daemons", "daisystile-suspects"}) {
            m_fleet.putText(std::string(kind) + "/x-other", value);
        }
    }

    bool answers()
    {
        m_sent += 1;
        http_call call {.address = m_fleet.clientsAddress(m_sent % m_fleet.daemonCount()), .path = "/read/x", .timeout = seconds {3}};
        call.headers = {{"Host", plain_fleet::host}, {"Request-Id", "q" + std::to_string(m_sent)}, {"Deadline-Ms", "1400"}};
        return statusOf(m_fleet.control().call(std::move(call))) == 200;
    }

    void expectAllAnswer(const std::string &when)
    {
        for (std::size_t i = 0; i < 2 * m_fleet.daemonCount(); ++i) {
            EXPECT_TRUE(answers()) << when;
        }
    }

    // A new server gets requests from each daemon, so all of them have seen it.
    void expectChangesAreSeen(const std::string &when)
    {
        for (std::size_t i = 0; i < m_fleet.servers().size(); ++i) {
            m_fleet.replaceServer(i);
        }
        const auto used = [this] {
            expectNoEnd();
            const bool answered = answers();
            const auto &servers = m_fleet.servers();
            return answered && std::all_of(servers.begin(), servers.end(), [](const auto &each) { return each.process->arrivals() > 0; });
        };
        EXPECT_TRUE(m_fleet.control().waitUntil(used, seconds {15})) << when;
        expectAllAnswer(when);
    }

    void expectNoEnd()
    {
        m_fleet.drainOutput();
        for (std::size_t i = 0; i < m_fleet.daemonCount(); ++i) {
            ASSERT_TRUE(m_fleet.daemonReady(i)) << i;
        }
    }

    plain_fleet m_fleet {{.daemons = 6, .logbookServers = 3}};
    std::size_t m_sent = 0;
};

} // namespace

// One entry with a field nested 200,000 lists deep ended all daemons, and again after each restart.
TEST_F(foreign_objects, deeplyNestedObjectsEndNoDaemon)
{
    ASSERT_TRUE(m_fleet.start());
    putIntoEachKind(deeplyNested());
    expectChangesAreSeen("while the objects stand");
    for (std::size_t i = 0; i < m_fleet.daemonCount(); ++i) {
        m_fleet.killDaemon(i);
        ASSERT_TRUE(m_fleet.startDaemon(i));
        ASSERT_TRUE(m_fleet.control().waitUntil([&] { return m_fleet.daemonReady(i); }, seconds {15})) << "a restart beside the objects";
    }
    expectChangesAreSeen("after the restarts");
}

TEST_F(foreign_objects, deeplyNestedObjectsKeepNoDaemonFromStarting)
{
    ASSERT_TRUE(m_fleet.startStore());
    putIntoEachKind(deeplyNested());
    ASSERT_TRUE(m_fleet.start());
    expectChangesAreSeen("in a fleet that started beside the objects");
}

// One entry with a single surrogate, or a number out of range, hid all changes of the servers from all daemons.
TEST_F(foreign_objects, objectsThatCannotBeReadHideNoOthers)
{
    ASSERT_TRUE(m_fleet.startStore());
    putIntoEachKind(R"({"service":"logbook","zone":"\ud800","domain":"\udfff"})");
    ASSERT_TRUE(m_fleet.start());
    expectChangesAreSeen("in a fleet that started beside the objects");
    for (const auto &value : {entryWith("1e999"), entryWith("\"\\ud800\""), std::string("[null]")}) {
        putIntoEachKind(value);
        expectChangesAreSeen("while the objects stand");
    }
}

// The updates between daemons have a largest size.
TEST_F(foreign_objects, largeObjectsKeepNoDaemonFromFollowingAnother)
{
    constexpr std::size_t bytes = 900'000;
    ASSERT_TRUE(m_fleet.start());
    // One daemon of each of three domains follows the store, with four watches, and the others follow these.
    const auto settled = [this] {
        return m_fleet.waitingWatches() == 12;
    };
    ASSERT_TRUE(m_fleet.control().waitUntil(settled));
    m_fleet.drainOutput();
    const auto startedUntil = m_fleet.logs().size();
    for (int i = 0; i < 6; ++i) {
        m_fleet.putText("servers/x-" + std::to_string(i), entryWith("\"" + std::string(bytes, 'x') + "\""));
    }
    expectChangesAreSeen("while the objects stand");
    EXPECT_EQ(m_fleet.logs().find("Lost the source daemon", startedUntil), std::string::npos);
    EXPECT_TRUE(m_fleet.control().waitUntil(settled));
}
