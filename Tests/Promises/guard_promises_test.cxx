#include "fleet_fixture.h"

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr int shards = 10;
constexpr int crashLimit = 2;
constexpr const char *serviceName = "marshal-desk";
constexpr const char *crashMarker = "poison";

class guard_promises : public fleet_fixture
{
protected:
    int crashCount()
    {
        int sum = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            sum += server["crashes"].get<int>();
        }
        return sum;
    }

    int coveredShards(const std::string &daemon, const std::string &query)
    {
        const auto result = m_client.call(queryCall(daemon, serviceName, query));
        return statusOf(result) == 200 ? jsonOf(result)["coverage"]["covered"].get<int>() : 0;
    }
};

} // namespace

TEST_F(guard_promises, aRequestThatCrashesServersIsStoppedOnAllDaemons)
{
    fleet_layout layout;
    layout.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    startFleet(layout);
    const auto names = daemonNames();
    ASSERT_TRUE(m_client.waitUntil([&] { return coveredShards(names[0], "warm up") == shards; }));
    setServerFaults({{"crash_marker", crashMarker}, {"restart_ms", 300}});
    // A caller that retries the crashing request through every daemon.
    for (int i = 0; i < 10; ++i) {
        for (const auto &name : names) {
            m_client.call(queryCall(name, serviceName, crashMarker));
        }
    }
    EXPECT_GE(crashCount(), 1);
    EXPECT_LE(crashCount(), crashLimit);
    // Other queries are still served with full coverage.
    EXPECT_TRUE(m_client.waitUntil([&] { return coveredShards(names[1], "others") == shards; }));
    EXPECT_LE(crashCount(), crashLimit);
}
