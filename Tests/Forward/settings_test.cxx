#include <Forward/forward.h>

#include <gtest/gtest.h>

using namespace daisystile;

static const std::string addresses = "id = \"d1\"\nfailure_domain = \"port\"\nregion = \"sfax\"\nclients = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\npeers = "
                                     "\"10.0.0.1:4\"\nstore = \"10.0.0.2:3\"\n";

TEST(parseEntrySettings, readsSettingsAndBounds)
{
    const auto settings = std::get<entry_settings>(parseEntrySettings(addresses + "grace_ms = 4000\n[bounds]\nretry_ratio = 0.1\nretry_slack = 54\n", "f"));
    EXPECT_EQ(settings.grace, milliseconds {4000});
    EXPECT_EQ(settings.bounds.retryRatio, 0.1);
    EXPECT_EQ(settings.bounds.retrySlack, 54);
    EXPECT_EQ(settings.store.port, 3);
}

TEST(parseEntrySettings, reportsEveryError)
{
    const auto errors = std::get<config_errors>(parseEntrySettings("id = 7\nclients = \"nowhere\"\ngrace_ms = -1\nunknown = 1\n", "f"));
    std::string all = toString(errors);
    for (const auto *key : {"id", "failure_domain", "region", "clients", "readiness", "store", "grace_ms", "unknown"}) {
        EXPECT_NE(all.find(key), std::string::npos) << key;
    }
}
