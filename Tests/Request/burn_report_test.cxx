#include "Request/burn_html.h"
#include "Request/burn_json.h"
#include "Request/burn_report.h"
#include "Request/burn_text.h"

#include <gmock/gmock.h>

using namespace daisystile;
using testing::HasSubstr;
using testing::Not;

namespace {

constexpr wall_seconds start = 1'800'000'000 - 1'800'000'000 % 600;
const service_objective objective {milliseconds {200}, 0.99, 0.999};

completed_request answered(const char *customer, milliseconds latency, std::uint32_t covered = 10)
{
    return {.customer = {customer}, .latency = latency, .shards = 10, .covered = covered, .firstAttempts = 10, .extraAttempts = 0};
}

burn_report reportOf(const std::map<std::string, const burn_recorder *> &daemons, wall_seconds now)
{
    std::set<daemon_id> asked;
    for (const auto &[name, recorder] : daemons) {
        asked.insert({name});
    }
    burn_reply_collector collection(1, asked);
    for (const auto &[name, recorder] : daemons) {
        for (const auto &part : recorder->reply(1, now)) {
            collection.addReply({name}, part);
        }
    }
    return collection.report({}, now);
}

} // namespace

TEST(burn_report, mergesHistogramsRatherThanPercentiles)
{
    burn_recorder fast;
    burn_recorder slow;
    for (int i = 0; i < 990; ++i) {
        fast.record(answered("a", milliseconds {10}), objective, start);
    }
    for (int i = 0; i < 10; ++i) {
        slow.record(answered("a", milliseconds {1000}), objective, start);
    }
    const auto report = reportOf({{"d1", &fast}, {"d2", &slow}}, start + 30);
    ASSERT_EQ(report.customers.size(), 1U);
    const auto &sums = report.customers[0].windows[0].sums;
    // Averaging the two daemons' 99th percentiles would give 505 ms.
    EXPECT_LT(sums.latency.percentile(0.99), milliseconds {11});
    EXPECT_GE(sums.latency.percentile(0.999), milliseconds {1000});
    EXPECT_NEAR(sums.latencyBurn(objective), 1, 1e-9);
}

TEST(burn_report, countsWindowsByTheirLength)
{
    burn_recorder recorder;
    const wall_seconds now = start + 6 * 3600;
    for (const wall_seconds ago : {23000U, 18000U, 3000U, 1200U, 60U}) {
        recorder.record(answered("a", milliseconds {10}), objective, now - ago);
    }
    std::vector<std::uint64_t> answers;
    const auto report = reportOf({{"d", &recorder}}, now);
    for (const auto &window : report.customers[0].windows) {
        answers.push_back(window.sums.answers);
    }
    EXPECT_EQ(answers, (std::vector<std::uint64_t> {1, 2, 3, 4}));
}

TEST(burn_report, refusalsExceptOverContractSpendTheErrorBudget)
{
    burn_recorder recorder;
    for (int i = 0; i < 98; ++i) {
        recorder.record(answered("a", milliseconds {10}), objective, start);
    }
    recorder.record({.customer = {"a"}, .refusal = "over_contract"}, objective, start);
    recorder.record({.customer = {"a"}, .refusal = "no_slot"}, objective, start);
    recorder.record({.customer = {"a"}, .refusal = "no_slot"}, objective, start);
    const auto sums = reportOf({{"d", &recorder}}, start).customers[0].windows[0].sums;
    EXPECT_EQ(sums.failed(), 2U);
    EXPECT_EQ(sums.refusals.at("over_contract"), 1U);
    EXPECT_NEAR(sums.latencyBurn(objective), 0.02 / 0.01, 1e-9);
}

TEST(burn_report, alertsWhenBothWindowsOfAPairBurn)
{
    burn_recorder recorder;
    for (wall_seconds minute = 0; minute < 60; ++minute) {
        recorder.record(answered("late", milliseconds {300}), objective, start + minute * 60);
        recorder.record(answered("gaps", milliseconds {10}, 9), objective, start + minute * 60);
        recorder.record(answered("recovered", milliseconds {minute < 40 ? 300 : 10}), objective, start + minute * 60);
        recorder.record(answered("good", milliseconds {10}), objective, start + minute * 60);
    }
    std::map<std::string, burn_alert> alerts;
    const auto report = reportOf({{"d", &recorder}}, start + 59 * 60);
    for (const auto &customer : report.customers) {
        alerts[customer.customer.value] = customer.alert;
    }
    EXPECT_EQ(alerts["late"], burn_alert::fast);
    EXPECT_EQ(alerts["gaps"], burn_alert::fast);
    EXPECT_EQ(alerts["recovered"], burn_alert::slow);
    EXPECT_EQ(alerts["good"], burn_alert::none);
}

TEST(burn_report, namesDaemonsThatDidNotAnswer)
{
    const burn_recorder recorder;
    burn_reply_collector collection(7, {{"d1"}, {"d2"}, {"d3"}});
    collection.addReply({"d1"}, recorder.reply(6, start).front());
    EXPECT_FALSE(collection.complete());
    collection.addReply({"d1"}, recorder.reply(7, start).front());
    collection.addReply({"stranger"}, recorder.reply(7, start).front());
    collection.markUnreachable({"d2"});
    const auto report = collection.report({}, start);
    EXPECT_EQ(report.answered, (std::vector<daemon_id> {{"d1"}}));
    EXPECT_EQ(report.unanswered, (std::vector<daemon_id> {{"d2"}, {"d3"}}));
    for (const auto &text : {toText(report), toHtml(report), toJson(report)}) {
        EXPECT_THAT(text, HasSubstr("d3"));
    }
}

TEST(burn_report, memoryStaysBounded)
{
    burn_recorder recorder;
    for (std::size_t i = 0; i < burn_recorder::maxCustomers + 50; ++i) {
        recorder.record(answered(("c" + std::to_string(i)).c_str(), milliseconds {10}), objective, start + i);
    }
    for (wall_seconds time = start; time < start + 24 * 3600; time += 30) {
        recorder.record(answered("c300", milliseconds {10}), objective, time);
    }
    std::size_t customers = 0;
    for (const auto &part : recorder.reply(1, start + 24 * 3600)) {
        customers += part.customers.size();
        for (const auto &customer : part.customers) {
            EXPECT_LE(customer.slices.size(), burn_recorder::shortSlices + burn_recorder::longSlices);
        }
    }
    EXPECT_EQ(customers, burn_recorder::maxCustomers);
}

TEST(burn_report, reportsFailureDomainChangesOnce)
{
    burn_recorder first;
    burn_recorder second;
    std::map<failure_domain_name, failure_domain> domains {{{"port"}, {{"port"}, {"sfax"}, false}}};
    for (auto *recorder : {&first, &second}) {
        recorder->recordDomainStates(domains, start);
    }
    domains[{"port"}].out = true;
    first.recordDomainStates(domains, start + 10);
    second.recordDomainStates(domains, start + 12);
    second.recordDomainStates(domains, start + 13);
    const auto report = reportOf({{"d1", &first}, {"d2", &second}}, start + 20);
    ASSERT_EQ(report.domainChanges.size(), 1U);
    EXPECT_EQ(report.domainChanges[0].at, start + 10);
    EXPECT_TRUE(report.domainChanges[0].out);
}

TEST(burn_report, aWallClockSetBackAddsToTheNewestSlice)
{
    burn_recorder recorder;
    recorder.record(answered("a", milliseconds {10}), objective, start + 120);
    recorder.record(answered("a", milliseconds {10}), objective, start);
    EXPECT_EQ(reportOf({{"d", &recorder}}, start + 120).customers[0].minutes.size(), 1U);
}

TEST(burn_report, htmlPageIsSelfContainedAndEscapesNames)
{
    burn_recorder recorder;
    for (wall_seconds minute = 0; minute < 5; ++minute) {
        recorder.record(answered("<b>&", milliseconds {10}), objective, start + minute * 60);
    }
    const auto page = toHtml(reportOf({{"d", &recorder}}, start + 300));
    EXPECT_THAT(page, HasSubstr("&lt;b&gt;&amp;"));
    EXPECT_THAT(page, HasSubstr("<svg"));
    for (const char *outside : {"<b>&", "http://", "https://", "src=", "<script", "@import", "url("}) {
        EXPECT_THAT(page, Not(HasSubstr(outside)));
    }
}
