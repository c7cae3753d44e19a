#include <Route/route.h>

#include <gtest/gtest.h>

#include <functional>
#include <random>

using namespace daisystile;

namespace {

constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50;
constexpr seconds orderTime {30};
constexpr int requestsPerSecond = 100;
const service_name service {"logbook"};

struct answer_model
{
    double failing = 0;
    double slower = 1;
    route_name onlyOn {};
    seconds from {0};
};

struct outcome
{
    rollout_status status;
    int requests = 0;
    int toTarget = 0;
    int badAnswers = 0;
    seconds at {0};
    seconds fiftiethBadAt {seconds::max()};
};

// Plays an order over daemons, some of which hear of nothing after the first second; reports are two seconds late.
class simulated_fleet
{
public:
    outcome play(const answer_model &target, unsigned seed, std::size_t daemons = 79, std::size_t cutOff = 0)
    {
        m_random.seed(seed);
        rollout_judge judge(exposureShare);
        const auto initial = rollout_status {{"v2"}, rollout_verdict::running, rollout_stage::trial, "1"};
        outcome result {initial};
        std::deque<route_counts> reported(2);
        version_rule stale {{"v1"}, initial};
        version_rule known = stale;
        for (seconds at {0}; at < orderTime && known.rollout->verdict == rollout_verdict::running; at += seconds {1}) {
            known.rollout = result.status;
            result.at = at;
            for (int i = 0; i < requestsPerSecond; ++i) {
                const bool cut = m_random() % daemons < cutOff;
                request(cut ? stale : known, !cut, target, at, result);
            }
            reported.push_back(m_counts);
            rollout_inputs inputs {result.status, orderTime, at, reported.front(), true, daemons, daemons};
            reported.pop_front();
            if (const auto change = judge.decide(inputs, monotonic_time {at})) {
                result.status = change->status;
            }
        }
        return result;
    }

private:
    void request(const version_rule &rule, bool fresh, const answer_model &target, seconds at, outcome &result)
    {
        result.requests += 1;
        const bool toTarget = draw() < rule.targetShare(exposureShare, fresh);
        const route_name route {draw() < 0.7 ? "read" : "note"};
        auto &counts = toTarget ? m_counts[route].target : m_counts[route].base;
        const bool affected = toTarget && at >= target.from && (target.onlyOn.value.empty() || target.onlyOn == route);
        result.toTarget += toTarget ? 1 : 0;
        const double latency = (route.value == "read" ? 5000 : 40000) * (0.7 + draw()) * (draw() < 0.03 ? 4 : 1);
        if (draw() < (affected ? std::max(target.failing, 0.005) : 0.005)) {
            counts.addFailure();
        } else {
            counts.addSuccess(microseconds {static_cast<std::int64_t>(latency * (affected ? target.slower : 1))});
        }
        result.badAnswers += affected && (draw() < target.failing || target.slower > 1) ? 1 : 0;
        result.fiftiethBadAt = result.badAnswers >= 50 ? std::min(result.fiftiethBadAt, at) : result.fiftiethBadAt;
    }

    double draw()
    {
        return std::uniform_real_distribution<>()(m_random);
    }

    std::mt19937 m_random;
    route_counts m_counts;
};

void expectRolledBack(const answer_model &target)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        const auto result = simulated_fleet().play(target, seed);
        EXPECT_EQ(result.status.verdict, rollout_verdict::rolled_back) << "seed " << seed;
        EXPECT_LE(result.toTarget, exposureShare * requestsPerSecond * orderTime.count() + exposureSlack) << "seed " << seed;
        EXPECT_LT(result.at, std::min(result.fiftiethBadAt, orderTime) + seconds {3}) << "seed " << seed;
    }
}

server_entry server(const std::string &id, const std::string &version, std::uint64_t born)
{
    server_entry entry;
    entry.id.value = id;
    entry.service = service;
    entry.software.value = version;
    entry.born = born;
    return entry;
}

} // namespace

TEST(rollout, goodVersionSucceedsWellBeforeTheEnd)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        const auto result = simulated_fleet().play({}, seed);
        EXPECT_EQ(result.status.verdict, rollout_verdict::succeeded) << "seed " << seed;
        EXPECT_LE(result.at, orderTime * 9 / 10) << "seed " << seed;
    }
}

TEST(rollout, badVersionsAreRolledBackSoonAfterFiftyBadAnswers)
{
    expectRolledBack({.failing = 0.5});
    expectRolledBack({.failing = 0.2});
    expectRolledBack({.slower = 4});
    expectRolledBack({.failing = 0.5, .onlyOn = {"note"}});
    expectRolledBack({.slower = 4, .onlyOn = {"note"}});
    expectRolledBack({.failing = 0.5, .from = seconds {4}});
    expectRolledBack({.slower = 4, .from = seconds {12}});
}

TEST(rollout, exposureOfTheFleetStaysWithinItsBoundWhateverShowsAndWhoeverIsCutOff)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        // Nothing shows until the second stage.
        const auto result = simulated_fleet().play({.failing = 0.5, .from = seconds {16}}, seed, 79, 20);
        EXPECT_EQ(result.status.verdict, rollout_verdict::rolled_back) << "seed " << seed;
        EXPECT_LE(result.toTarget, exposureShare * requestsPerSecond * orderTime.count() + exposureSlack) << "seed " << seed;
    }
}

TEST(rollout, aFewBadAnswersShowNothing)
{
    compared_counts counts;
    for (int i = 0; i < 1000; ++i) {
        counts.base.addSuccess(microseconds {5000});
    }
    for (int i = 0; i < 12; ++i) {
        counts.target.addSuccess(microseconds {5500});
    }
    for (int i = 0; i < 4; ++i) {
        counts.target.addFailure();
    }
    EXPECT_FALSE(faultShown({{{"read"}, counts}}));
    counts.target.addFailure();
    ASSERT_TRUE(faultShown({{{"read"}, counts}}));
    // Servers of both versions fail alike.
    for (int i = 0; i < 300; ++i) {
        counts.base.addFailure();
    }
    EXPECT_FALSE(faultShown({{{"read"}, counts}}));
}

TEST(rollout, onlyTheBaseVersionServesWithoutAnOrderAndAfterABadOne)
{
    server_catalog catalog;
    catalog.byService[service] = {server("b", "v2", 20), server("a", "v1", 10)};
    const auto ruleOf = [&](const std::map<service_name, software_version> &recorded, const std::map<service_name, rollout_status> &rollouts) {
        return versionRules(catalog, recorded, rollouts).at(service);
    };
    EXPECT_TRUE(ruleOf({}, {}).mayServe({"v1"}));
    EXPECT_FALSE(ruleOf({}, {}).mayServe({"v2"}));
    EXPECT_FALSE(ruleOf({{service, {"v2"}}}, {}).mayServe({"v1"}));
    EXPECT_FALSE(ruleOf({}, {{service, {{"v2"}, rollout_verdict::rolled_back}}}).mayServe({"v2"}));
    const auto succeeded = ruleOf({{service, {"v1"}}}, {{service, {{"v2"}, rollout_verdict::succeeded, rollout_stage::all}}});
    EXPECT_TRUE(succeeded.mayServe({"v2"}));
    EXPECT_FALSE(succeeded.mayServe({"v1"}));
    // The servers of the recorded base are gone, and nobody has ordered anything.
    EXPECT_TRUE(ruleOf({{service, {"v0"}}}, {}).mayServe({"v1"}));
}

// A daemon that hears of nothing.
TEST(rollout, staleKnowledgeKeepsToTheLowestStage)
{
    version_rule rule {{"v1"}, rollout_status {{"v2"}, rollout_verdict::running, rollout_stage::half, "1"}};
    EXPECT_GT(rule.targetShare(exposureShare, true), exposureShare);
    EXPECT_LT(rule.targetShare(exposureShare, false), exposureShare);
}

TEST(rollout, goodAnswersOfTheBeginningDontHideALaterFault)
{
    rollout_judge judge(exposureShare);
    rollout_inputs inputs {{{"v2"}, rollout_verdict::running, rollout_stage::trial, "1"}, seconds {600}, seconds {0}, {}, true, 0, 6};
    auto &counts = inputs.counts[{"read"}];
    const auto play = [&](int from, int to, int failures) {
        for (int second = from; second < to; ++second) {
            for (int i = 0; i < 10; ++i) {
                counts.base.addSuccess(microseconds {5000});
                i < failures ? counts.target.addFailure() : counts.target.addSuccess(microseconds {5000});
            }
            if (const auto change = judge.decide(inputs, monotonic_time {seconds {second}})) {
                return second;
            }
        }
        return to;
    };
    ASSERT_EQ(play(0, 200, 0), 200);
    EXPECT_LT(play(200, 220, 5), 204);
}

// Old servers stop at once when the order has succeeded.
TEST(rollout, succeedsOnlyOnceNothingRunsOnOldServers)
{
    rollout_judge judge(exposureShare);
    const rollout_status all {{"v2"}, rollout_verdict::running, rollout_stage::all, "1"};
    rollout_inputs inputs {all, orderTime, seconds {20}, {}, true, 5, 6};
    EXPECT_FALSE(judge.decide(inputs, monotonic_time {seconds {20}}));
    inputs.elapsed = seconds {24};
    EXPECT_FALSE(judge.decide(inputs, monotonic_time {seconds {24}}));
    inputs.settledDaemons = 6;
    const auto change = judge.decide(inputs, monotonic_time {seconds {24}});
    ASSERT_TRUE(change);
    EXPECT_EQ(change->status.verdict, rollout_verdict::succeeded);
}
