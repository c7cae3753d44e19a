#include "Request/burn_endpoint.h"
#include "Request/burn_service.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

// Three daemons that exchange messages in memory; sending to one may fail, and one may stay silent.
struct fleet
{
    fleet()
    {
        auto view = std::make_shared<fleet_view>();
        for (const char *name : {"d1", "d2", "d3"}) {
            const daemon_id id {name};
            view->members.push_back({.id = id});
            services.emplace(id,
                std::make_unique<burn_service>(loop, id, [this, id](const daemon_id &to, const peer_message &message) { return deliver(id, to, message); }));
        }
        for (auto &[id, service] : services) {
            service->setView(view);
        }
    }

    bool deliver(const daemon_id &from, const daemon_id &to, const peer_message &message)
    {
        if (to == refusing) {
            return false;
        }
        loop.post([this, from, to, message] {
            if (to == silent) {
                return;
            }
            if (const auto *request = std::get_if<burn_request>(&message)) {
                services.at(to)->receive(from, *request);
            } else {
                services.at(to)->receive(from, std::get<burn_reply>(message));
            }
        });
        return true;
    }

    burn_report report()
    {
        burn_report result;
        services.at({"d1"})->report([&](burn_report done) {
            result = std::move(done);
            loop.stop();
        });
        loop.run();
        return result;
    }

    reactor loop;
    std::map<daemon_id, std::unique_ptr<burn_service>> services;
    daemon_id refusing;
    daemon_id silent;
};

} // namespace

TEST(burn_service, mergesTheSlicesOfAllDaemons)
{
    fleet daemons;
    for (auto &[id, service] : daemons.services) {
        service->recordRequest({.customer = {"a"}, .latency = milliseconds {5}, .shards = 10, .covered = 10}, {});
    }
    const auto report = daemons.report();
    EXPECT_EQ(report.answered.size(), 3U);
    EXPECT_TRUE(report.unanswered.empty());
    ASSERT_EQ(report.customers.size(), 1U);
    EXPECT_EQ(report.customers[0].windows[0].sums.answers, 3U);
}

TEST(burn_service, listsUnreachableAndLostDaemonsAsUnanswered)
{
    fleet daemons;
    daemons.refusing = {"d2"};
    daemons.silent = {"d3"};
    daemons.loop.after(milliseconds {20}, [&] { daemons.services.at({"d1"})->peerLost({{"d3"}, false}); });
    const auto report = daemons.report();
    EXPECT_EQ(report.answered, (std::vector<daemon_id> {{"d1"}}));
    EXPECT_EQ(report.unanswered, (std::vector<daemon_id> {{"d2"}, {"d3"}}));
}

TEST(burn_service, stopsWaitingForASilentDaemonAfterTheTimeout)
{
    fleet daemons;
    daemons.silent = {"d3"};
    EXPECT_EQ(daemons.report().unanswered, (std::vector<daemon_id> {{"d3"}}));
}

TEST(burn_endpoint, servesEachFormatAndRefusesOthers)
{
    reactor loop;
    const auto handler = burnReportHandler(loop, [](const std::function<void(burn_report)> &done) { done({.answered = {{"d1"}}}); });
    const auto answerTo = [&](const std::string &path, const std::string &format) {
        http_response answer;
        http_request request {.method = "GET", .path = path};
        if (!format.empty()) {
            request.query["format"] = format;
        }
        handler(request, [&](http_response response) { answer = std::move(response); });
        loop.post([&] { loop.stop(); });
        loop.run();
        return answer;
    };
    const std::string path = "/v1/admin/report/burn";
    EXPECT_EQ(answerTo(path, "").contentType, "application/json");
    EXPECT_EQ(answerTo(path, "text").body.substr(0, 18), "Service-level burn");
    EXPECT_EQ(answerTo(path, "html").contentType, "text/html; charset=utf-8");
    EXPECT_EQ(answerTo(path, "pdf").status, 400);
    EXPECT_EQ(answerTo("/v1/admin/report/other", "").status, 404);
}
