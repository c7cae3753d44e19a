#include <Load/load.h>

#include <gtest/gtest.h>

#include <thread>

using namespace daisystile;

// The server responds slowly, so that a closed-loop generator would send far fewer requests.
TEST(load_run, sendsOnScheduleDespiteSlowResponses)
{
    reactor loop;
    std::size_t received = 0;
    int stepsSeen = 0;
    std::size_t maxOpenRequests = 0;
    std::unique_ptr<http_server> server;
    server = http_server::listen(loop, {"127.0.0.1", 0}, [&](http_request request, http_responder respond) {
        if (request.path == "/fault") {
            stepsSeen += 1;
            respond({});
            return;
        }
        if (request.path == "/control/records") {
            respond({.body = R"({"servers":{"b1":{"received":)" + std::to_string(7 + received) + R"(}},"executions":{"k":{"started":1}}})"});
            return;
        }
        received += 1;
        maxOpenRequests = std::max(maxOpenRequests, server->openRequests());
        loop.after(milliseconds {100}, [respond] { respond({.body = R"({"snapshot":"s","coverage":{"shards":1,"covered":1,"missing":[]}})"}); });
    }).value();
    load_plan plan;
    plan.duration = milliseconds {500};
    plan.threads = 2;
    plan.targets = {server->address()};
    plan.streams.push_back({.name = "a", .token = "t", .service = {"s"}, .ratePerSecond = 400, .body = "{}", .to = plan.duration});
    plan.steps.push_back({.at = milliseconds {100}, .address = server->address(), .path = "/fault"});
    plan.records = {server->address()};
    plan.phases.push_back({"all", microseconds {0}, plan.duration});
    load_report report {load_statistics(plan), {}, std::nullopt};
    std::thread load([&] {
        report = runLoad(plan);
        loop.stop();
    });
    loop.run();
    load.join();
    const auto &statistics = report.statistics.phases[0][0];
    EXPECT_EQ(statistics.count(), received);
    EXPECT_EQ(statistics.kinds[static_cast<std::size_t>(answer_kind::complete)], received);
    // The mean number of open requests is 40; five standard deviations below it are 8. A closed loop would have at
    // most two, one per thread.
    EXPECT_GE(maxOpenRequests, 8U);
    EXPECT_NEAR(static_cast<double>(received), 200, 71);
    EXPECT_GE(statistics.latency.percentile(0), milliseconds {100});
    EXPECT_EQ(stepsSeen, 1);
    ASSERT_EQ(report.steps.size(), 1U);
    EXPECT_EQ(report.steps[0].status, 200);
    ASSERT_TRUE(report.records);
    EXPECT_EQ(report.records->receivedByServer.at("b1"), received);
    EXPECT_EQ(report.records->runsByKey.at("k"), 0U);
}
