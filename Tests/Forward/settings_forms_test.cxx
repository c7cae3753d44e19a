#include <Forward/forward.h>

#include <StandIns/platform_fields.h>
#include <StandIns/settings_template.h>

#include <gtest/gtest.h>

#include <optional>
#include <set>

using namespace daisystile;
using nlohmann::json;

namespace {

settings_reading<entry_settings> readFilled(const json &fields)
{
    return readEntrySettings(fillTemplate(platformTemplate(), fields), "daemon.toml");
}

json fieldsWith(const std::string &pointer, const json &value)
{
    auto fields = platformFields();
    fields[json::json_pointer(pointer)] = value;
    return fields;
}

const std::string daemonText = "id = \"d1\"\nclients = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\nstore = \"10.0.0.2:3\"\n";

bool names(const config_errors &findings, const std::string &key)
{
    return std::any_of(findings.all.begin(), findings.all.end(), [&](const auto &finding) { return finding.key == key; });
}

std::string warningsOf(settings_findings &findings, const std::string &text)
{
    testing::internal::CaptureStderr();
    findings.report(readEntrySettings(text, "f").findings);
    return testing::internal::GetCapturedStderr();
}

} // namespace

TEST(settings_template, passesThePlatformsFieldsOn)
{
    const auto reading = readFilled(platformFields());
    EXPECT_EQ(toString(reading.findings), "");
    const auto &settings = reading.settings.value();
    EXPECT_EQ(settings.id.value, "edge-sfax-medina-1");
    EXPECT_EQ(settings.domain.value, "sfax-medina");
    EXPECT_EQ(settings.region.value, "sfax");
    EXPECT_EQ(toString(settings.clients), "10.1.0.39:8226");
    EXPECT_EQ(toString(settings.readiness), "10.1.0.39:8227");
    EXPECT_EQ(toString(settings.peers), "10.1.0.39:7740");
    EXPECT_EQ(toString(settings.queries), "10.1.0.39:7755");
    EXPECT_EQ(toString(settings.store), "10.200.1.7:8229");
    EXPECT_EQ(settings.strength, 0.25);
    EXPECT_TRUE(settings.bootstrap);
    EXPECT_EQ(settings.grace, milliseconds {6000});
    EXPECT_EQ(settings.memoryBytes, 260U << 20U);
    EXPECT_EQ(clientMemoryBudget(settings), (260U << 20U) * 3 / 8);
    fleet_bounds bounds {.retryRatio = 0.2, .retrySlack = 56, .retryWindow = milliseconds {10000}, .coldFactor = 1.5, .coldSlack = 5};
    bounds.configurationTime = milliseconds {3000};
    bounds.exposureShare = 0.1;
    EXPECT_EQ(settings.bounds, bounds);
}

// A daemon ended at each start for one of these.
TEST(settings_template, takesAnyFormOfAField)
{
    const auto forms =
        json::parse(R"([null, true, false, "True", "False", 0, 6, 6.0, 6.5, -1, 1e3, 1e300, -1e300, 18446744073709551615, "6.0", "99999999999999999999999",
        "1e999", "nan", "inf", "", " ", "it's", "a\nb", "say \"no\" \\ \\q", [], [1, 2], {}, {"a": "b"}])");
    for (const auto *pointer : {"/zone",
             "/region",
             "/internal_port_range",
             "/internal_port_range/0",
             "/internal_port_range/1",
             "/limits/cpu_share",
             "/bootstrap",
             "/bounds/grace_s",
             "/bounds/retry_budget_ratio",
             "/bounds/budget_window_s",
             "/bounds/budget_slack",
             "/bounds/warmup_overage",
             "/bounds/warmup_slack"}) {
        for (const auto &form : forms) {
            const auto reading = readFilled(fieldsWith(pointer, form));
            ASSERT_TRUE(reading.settings) << pointer << " " << form << "\n" << toString(reading.findings);
            EXPECT_FALSE(reading.settings->domain.value.empty());
            EXPECT_GE(reading.settings->grace, milliseconds {100}) << pointer << " " << form;
            EXPECT_LE(reading.settings->grace, milliseconds {600000}) << pointer << " " << form;
            EXPECT_GE(reading.settings->bounds.retryWindow, milliseconds {1000}) << pointer << " " << form;
            EXPECT_LE(reading.settings->bounds.retryWindow, milliseconds {600000}) << pointer << " " << form;
            EXPECT_GE(reading.settings->strength, minStrength) << pointer << " " << form;
            EXPECT_LE(reading.settings->bounds.retrySlack, 1e6) << pointer << " " << form;
        }
    }
}

TEST(settings_template, readsNumbersAndTimesInEachForm)
{
    const std::vector<std::pair<json, milliseconds>> graces {
        {6.0, milliseconds {6000}}, {6.5, milliseconds {6500}}, {"6.0", milliseconds {6000}}, {1e1, milliseconds {10000}}, {nullptr, entry_settings {}.grace}};
    for (const auto &[form, grace] : graces) {
        const auto reading = readFilled(fieldsWith("/bounds/grace_s", form));
        EXPECT_EQ(reading.settings.value().grace, grace) << form;
        EXPECT_EQ(toString(reading.findings), "") << form;
    }
    EXPECT_FALSE(readFilled(fieldsWith("/bootstrap", false)).settings.value().bootstrap);
    EXPECT_TRUE(readFilled(fieldsWith("/bootstrap", "True")).settings.value().bootstrap);
    EXPECT_EQ(readFilled(fieldsWith("/bounds/budget_slack", 56.0)).settings.value().bounds.retrySlack, 56);
}

TEST(settings_template, saysWhichSettingIsNotTakenAsItStands)
{
    const auto reading = readFilled(fieldsWith("/bounds/budget_slack", 1e300));
    ASSERT_EQ(reading.findings.all.size(), 1U);
    EXPECT_NE(toString(reading.findings).find("bounds.retry_slack: expected a number from 0 to 1000000, found \"1e+300\", used 1000000"), std::string::npos)
        << toString(reading.findings);
    EXPECT_EQ(reading.settings.value().bounds.retrySlack, 1e6);
    const auto truth = readFilled(fieldsWith("/bounds/budget_slack", true));
    EXPECT_EQ(truth.settings.value().bounds.retrySlack, fleet_bounds {}.retrySlack);
    EXPECT_TRUE(names(truth.findings, "bounds.retry_slack"));
}

TEST(template_of_tests, followsThePlatformsRules)
{
    const auto fields = json::parse(R"({"a": {"b": [1, "x", 6.0], "n": null, "t": true, "f": false}, "o": {"k": {"v": 1}, "l": {"v": 2}}, "c": "outer"})");
    EXPECT_EQ(fillTemplate("{{a.b}} {{a.b.1}} {{a.b.7}}{{a.n}}{{a.none}} {{a.b|json}} {{a.n|json}} {{a.t}}", fields), "1,x,6.0 x  [1,\"x\",6.0] null true");
    EXPECT_EQ(fillTemplate("{{#a.b}}{{@}}={{.}}{{c}}{{,}}{{/a.b}}", fields), "0=1outer,1=xouter,2=6.0outer");
    EXPECT_EQ(fillTemplate("{{#o}}{{@}}{{v}}{{,}}{{/o}}", fields), "k1,l2");
    EXPECT_EQ(fillTemplate("{{#a.t}}t{{/a.t}}{{#a.f}}f{{/a.f}}{{#a.n}}n{{/a.n}}{{^a.f}}F{{/a.f}}{{^a.n}}N{{/a.n}}{{^a.t}}T{{/a.t}}", fields), "tFN");
    EXPECT_EQ(json::parse(fillTemplate("{{.|json}}", fields)), fields);
}

TEST(entry_settings_reading, keepsTheKeysOfEarlierFiles)
{
    const auto earlier = readEntrySettings(
        daemonText + "failure_domain = \"port\"\nregion = \"sfax\"\npeers = \"10.0.0.1:4\"\ngrace_ms = 4500\n[bounds]\nretry_window_ms = 7000\n", "f");
    EXPECT_EQ(toString(earlier.findings), "");
    EXPECT_EQ(earlier.settings.value().grace, milliseconds {4500});
    EXPECT_EQ(earlier.settings.value().bounds.retryWindow, milliseconds {7000});
    const auto both = readEntrySettings(daemonText + "grace_s = 2\ngrace_ms = 4500\n", "f");
    EXPECT_EQ(both.settings.value().grace, milliseconds {2000});
    EXPECT_TRUE(names(both.findings, "grace_ms"));
}

TEST(entry_settings_reading, servesWithoutWhatOnlyHelps)
{
    const auto reading = readEntrySettings(daemonText, "f");
    EXPECT_EQ(reading.settings.value().peers.port, 0);
    EXPECT_FALSE(reading.settings.value().domain.value.empty());
    for (const auto *key : {"failure_domain", "region", "peers"}) {
        EXPECT_TRUE(names(reading.findings, key)) << key;
    }
    EXPECT_FALSE(hasMistakes(reading.findings));
}

TEST(entry_settings_reading, ignoresWhatItDoesNotKnow)
{
    const auto text = daemonText + "unknown = 1\nbounds = 7\nstrength = 1979-05-27\n";
    const auto reading = readEntrySettings(text, "f");
    EXPECT_EQ(reading.settings.value().strength, entry_settings {}.strength);
    EXPECT_EQ(reading.settings.value().bounds, fleet_bounds {});
    for (const auto *key : {"unknown", "bounds", "strength"}) {
        EXPECT_TRUE(names(reading.findings, key)) << key;
    }
    EXPECT_TRUE(std::holds_alternative<config_errors>(parseEntrySettings(text, "f"))) << "a check names them as mistakes";
}

TEST(entry_settings_reading, endsWithoutWhatNothingReplaces)
{
    for (const auto *key : {"id", "clients", "readiness", "store"}) {
        for (const auto *value : {"\"\"", "7", "\"a b:\"", "[]"}) {
            auto text = daemonText;
            const auto start = text.find(key + std::string(" = ")) + std::string_view(key).size() + 3;
            text.replace(start, text.find('\n', start) - start, value);
            const auto reading = readEntrySettings(text, "f");
            EXPECT_FALSE(reading.settings) << text;
            EXPECT_TRUE(names(reading.findings, key)) << text;
        }
    }
    EXPECT_FALSE(readEntrySettings("id = ", "f").settings);
}

// The file is read each 10 s.
TEST(settings_findings, areReportedOnceUntilTheyAreGone)
{
    settings_findings findings;
    const auto first = warningsOf(findings, daemonText + "strength = 0\n");
    EXPECT_NE(first.find("key=strength found=0 used=0.001"), std::string::npos) << first;
    EXPECT_EQ(warningsOf(findings, daemonText + "strength = 0\n"), "");
    EXPECT_NE(warningsOf(findings, "id = ").find("the previous settings stay in effect"), std::string::npos);
    EXPECT_EQ(warningsOf(findings, "id = "), "");
    EXPECT_NE(warningsOf(findings, daemonText + "strength = 0\n").find("key=strength"), std::string::npos);
}
