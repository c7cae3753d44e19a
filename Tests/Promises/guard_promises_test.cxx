#include "fleet_fixture.h"

using namespace daisystile;
using nlohmann::json;

namespace {

constexpr int shards = 10;
constexpr int crashLimit = 2;
constexpr const char *serviceName = "marshal-desk";
constexpr const char *marker = "poison";

class guard_promises : public fleet_fixture
{
protected:
    int crashes()
    {
        int sum = 0;
        const auto records = serverRecords();
        for (const auto &[id, server] : records["servers"].items()) {
            sum += server["crashes"].get<int>();
        }
        return sum;
    }

    int coveredBy(const std::string &daemon, const std::string &query)
    {
        const auto result = m_client.call(queryCall(daemon, serviceName, query));
        return statusOf(result) == 200 ? jsonOf(result)["coverage"]["covered"].get<int>() : 0;
    }
};

} // namespace

TEST_F(guard_promises, aRequestThatCrashesServersIsStoppedOnAllDaemons)
{
    fleet_shape shape;
    shape.services = {{.name = serviceName, .shards = shards, .latencyMs = 2}};
    startFleet(shape);
    const auto names = daemonNames();
    ASSERT_TRUE(m_client.waitUntil([&] { return coveredBy(names[0], "warm up") == shards; }));
    serverFaults({{"crash_marker", marker}, {"restart_ms", 300}});
    // The caller sends it again and again, through all daemons.
    for (int i = 0; i < 10; ++i) {
        for (const auto &name : names) {
            m_client.call(queryCall(name, serviceName, marker));
        }
    }
    EXPECT_GE(crashes(), 1);
    EXPECT_LE(crashes(), crashLimit);
    // Others are served as before.
    EXPECT_TRUE(m_client.waitUntil([&] { return coveredBy(names[1], "others") == shards; }));
    EXPECT_LE(crashes(), crashLimit);
}
