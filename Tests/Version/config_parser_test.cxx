#include <Version/version.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const std::string digestText(64, 'a');

const std::string settingsText = R"(id = "port-1"
failure_domain = "sfax-port"
region = "sfax"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
traffic = "127.0.0.1:0"
control = "127.0.0.1:0"
platform = "127.0.0.1:9000"
peer_key = "0123456789abcdef"
operator_token_digest = ")"
    + digestText + "\"\n";

const std::string contractText = R"(customer = "ben-salah"
token_digests = [")"
    + digestText + R"("]
services = ["marshal-desk"]
urgency = "interactive"
rate_per_second = 100
burst = 20
concurrency = 10
wait_ms = 250
[objective]
latency_ms = 150
)";

const std::string serviceText = R"(name = "marshal-desk"
kind = "query"
snapshot = "s-1"
map_version = 3
[[servers]]
id = "md-0-a"
failure_domain = "sfax-port"
address = "127.0.0.1:7000"
slots = 3
[[servers]]
id = "md-0-b"
failure_domain = "sfax-medina"
address = "127.0.0.1:7001"
[[shards]]
replicas = ["md-0-a", "md-0-b"]
)";

template<class T> std::string errorTextOf(const parsed<T> &result)
{
    const auto *errors = std::get_if<config_errors>(&result);
    return errors == nullptr ? "" : toString(*errors);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

struct invalid_text_case
{
    std::string name;
    std::string from;
    std::string to;
    std::string expectedErrors;
};

} // namespace

TEST(config_parser, parsesSettings)
{
    const auto settings = std::get<daemon_settings>(parseDaemonSettings(settingsText + "hedging = \"fixed_delay\"\nheartbeat_ms = 200\n", "d.toml"));
    EXPECT_EQ(settings.id.value, "port-1");
    EXPECT_EQ(settings.platform.port, 9000);
    EXPECT_EQ(settings.hedging, hedge_policy::fixed_delay);
    EXPECT_EQ(settings.heartbeat, milliseconds {200});
}

TEST(config_parser, parsesAContract)
{
    const auto terms = std::get<contract>(parseContract(contractText, "c.toml"));
    EXPECT_EQ(terms.rank, urgency::interactive);
    EXPECT_EQ(terms.ratePerSecond, 100);
    EXPECT_EQ(terms.maxWait, milliseconds {250});
    EXPECT_EQ(terms.objective.latency, milliseconds {150});
    EXPECT_EQ(terms.services.at(0).value, "marshal-desk");
}

TEST(config_parser, parsesAServiceFromTomlAndJson)
{
    const std::string json = R"({"name":"marshal-desk","kind":"query","snapshot":"s-1","map_version":3,"servers":[
{"id":"md-0-a","failure_domain":"sfax-port","address":"127.0.0.1:7000","slots":3},
{"id":"md-0-b","failure_domain":"sfax-medina","address":"127.0.0.1:7001"}],"shards":[{"replicas":["md-0-a","md-0-b"]}]})";
    for (const auto &text : {serviceText, json}) {
        const auto desk = std::get<service>(parseService(text, "s"));
        EXPECT_EQ(desk.servers.at(0).slots, 3U);
        EXPECT_EQ(desk.servers.at(1).connections, 30U);
        EXPECT_EQ(desk.shards.at(0).replicas.at(1).value, "md-0-b");
        EXPECT_EQ(desk.mapVersion.value, 3U);
    }
}

TEST(config_parser, formatsFailureDomainsAsItParsesThem)
{
    const std::vector<failure_domain> domains {{{"sfax-port"}, {"sfax"}, true}, {{"sfax-medina"}, {"sfax"}, false}};
    const auto again = std::get<std::vector<failure_domain>>(parseFailureDomains(toText(domains), "d"));
    ASSERT_EQ(again.size(), 2U);
    EXPECT_TRUE(again[0].out);
    EXPECT_EQ(again[1].name.value, "sfax-medina");
    EXPECT_EQ(errorTextOf(parseFailureDomains(toText({domains[0], domains[0]}), "d")),
        "d:6: domains[1].name: expected a name that no other failure domain has, found \"sfax-port\" twice\n");
}

TEST(config_parser, reportsAllErrorsOfSettingsAtOnce)
{
    auto text = replaced(settingsText, "\"127.0.0.1:9000\"", "\"localhost:9000\"");
    text = replaced(text, "region = \"sfax\"", "region = 7");
    text = replaced(text, "peer_key = \"0123456789abcdef\"\n", "") + "heartbeat_ms = 5\nhartbeat = 5\nhedging = \"sometimes\"\n";
    const auto found = errorTextOf(parseDaemonSettings(text, "d.toml"));
    for (const auto *line : {"d.toml:3: region: expected a name of lower-case letters, digits and hyphens, found 7\n",
             "d.toml:8: platform: expected an address as \"IP:PORT\", found \"localhost:9000\"\n",
             ": peer_key: expected a text, found nothing\n",
             "d.toml:10: heartbeat_ms: expected a whole number from 50 to 10000, found 5\n",
             "d.toml:11: hartbeat: expected one of ",
             "d.toml:12: hedging: expected one of none, fixed_delay, quantile, quantile_with_suppression, found \"sometimes\"\n"}) {
        EXPECT_NE(found.find(line), std::string::npos) << line << "in\n" << found;
    }
}

TEST(config_parser, takesSettingsWithinBoundsButNotWithoutNamesAndSecrets)
{
    const auto text = settingsText + "heartbeat_ms = \"200.0\"\nownership_lease_ms = 1e300\nrecord_trace = \"True\"\nhedging = 7\nhartbeat = 5\n";
    const auto reading = readDaemonSettings(text, "d.toml");
    const auto &settings = reading.settings.value();
    EXPECT_EQ(settings.heartbeat, milliseconds {200});
    EXPECT_EQ(settings.ownershipLease, milliseconds {60000});
    EXPECT_TRUE(settings.recordTrace);
    EXPECT_EQ(settings.hedging, hedge_policy::quantile);
    EXPECT_EQ(reading.findings.all.size(), 3U) << toString(reading.findings);
    EXPECT_NE(errorTextOf(parseDaemonSettings(text, "d.toml")), "");
    EXPECT_FALSE(readDaemonSettings(replaced(settingsText, "region = \"sfax\"", "region = 7"), "d.toml").settings);
    EXPECT_FALSE(readDaemonSettings(replaced(settingsText, "peer_key = \"0123456789abcdef\"\n", ""), "d.toml").settings);
}

TEST(config_parser, reportsEachErrorOfAContract)
{
    const std::vector<invalid_text_case> cases {
        {"range", "rate_per_second = 100", "rate_per_second = -1", "c:5: rate_per_second: expected a number from 0.001 to 10000000, found -1\n"},
        {"nan", "burst = 20", "burst = nan", "c:6: burst: expected a number from 1 to 10000000, found nan\n"},
        {"type", "concurrency = 10", "concurrency = \"10\"", "c:7: concurrency: expected a whole number from 1 to 1000000, found \"10\"\n"},
        {"missing", "wait_ms = 250", "", "c:1: wait_ms: expected a whole number from 1 to 600000, found nothing\n"},
        {"nested", "latency_ms = 150", "latency = 150", "c:10: objective.latency: expected one of coverage, latency_ms, latency_share, found an unknown key\n"},
        {"element", "[\"marshal-desk\"]", "[\"Marshal\"]", "c:3: services[0]: expected a name of lower-case letters, digits and hyphens, found \"Marshal\"\n"},
    };
    for (const auto &one : cases) {
        EXPECT_EQ(errorTextOf(parseContract(replaced(contractText, one.from, one.to), "c")), one.expectedErrors) << one.name;
    }
    EXPECT_NE(errorTextOf(parseContract("customer = ", "c")).find("c:1: expected well-formed TOML"), std::string::npos);
    EXPECT_NE(errorTextOf(parseContract("{\n\"customer\": }", "c")).find("c:2: expected well-formed JSON"), std::string::npos);
}

TEST(config_parser, reportsEachErrorOfAService)
{
    const std::vector<invalid_text_case> cases {
        {"unknown replica", "\"md-0-b\"]", "\"md-9\"]", "s:15: shards[0].replicas: expected ids of servers of this service, found \"md-9\"\n"},
        {"same replica", "\"md-0-b\"]", "\"md-0-a\"]", "s:15: shards[0].replicas: expected each server once, found \"md-0-a\" twice\n"},
        {"same address", ":7001", ":7000", "s:13: servers[1].address: expected an address that no other server has, found 127.0.0.1:7000 twice\n"},
        {"no shards",
            "[[shards]]\nreplicas = [\"md-0-a\", \"md-0-b\"]",
            "",
            "s:1: shards: expected an array of tables, found nothing\ns:1: shards: expected at least one shard, found none\n"},
    };
    for (const auto &one : cases) {
        EXPECT_EQ(errorTextOf(parseService(replaced(serviceText, one.from, one.to), "s")), one.expectedErrors) << one.name;
    }
}

// An operator's text with deeply nested values, or a key of many parts, ended the daemon that read it.
TEST(config_parser, deeplyNestedTextIsAnError)
{
    constexpr std::size_t levels = 100'000;
    const auto arrays = std::string(levels, '[') + std::string(levels, ']');
    EXPECT_NE(errorTextOf(parseContract(R"({"customer":)" + arrays + "}", "c")).find("levels deep at most"), std::string::npos);
    std::string key = "a";
    for (std::size_t i = 0; i < levels; ++i) {
        key += ".a";
    }
    for (const auto &text : {key + " = 1", "[" + key + "]", "x = {y = 1, " + key + " = 1}", "x = \"\"\"\n\" \" \"\"\"\n" + key + " = 1"}) {
        EXPECT_NE(errorTextOf(parseContract(text, "c")).find("parts at most"), std::string::npos) << text.substr(0, 30);
    }
    std::string nested;
    for (int i = 0; i < 200; ++i) {
        nested += "{a.b = ";
    }
    nested += "1" + std::string(200, '}');
    EXPECT_NE(errorTextOf(parseContract("x = " + nested, "c")).find("levels deep at most"), std::string::npos);
    EXPECT_EQ(errorTextOf(parseContract("# " + std::string(200, '.') + "\n" + contractText, "c")), errorTextOf(parseContract(contractText, "c")));
}
