#include "control_runtime.h"

#include "config_follower.h"
#include "operators_api.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds hostsInterval {500};

static member memberOf(const platform_host &host)
{
    member result;
    result.id = host.id;
    result.domain = host.domain;
    result.region = host.region;
    result.traffic = host.traffic;
    result.control = host.control;
    result.state = host.leaving ? member_state::leaving : member_state::alive;
    return result;
}

struct control_runtime::implementation
{
    implementation(const daemon_settings &daemonSettings, const peer_identity &identity, view_publisher &publisher, metrics &registry)
        : settings(daemonSettings),
          views(publisher),
          figures(registry),
          http(loop),
          platform(http, {daemonSettings.platform, daemonSettings.domain}),
          follower(loop,
              platform,
              [this](std::shared_ptr<const configuration> config) {
                  view.config = std::move(config);
                  view.ready = true;
                  publish();
              }),
          admin(loop,
              platform,
              {identity.id, daemonSettings.domain, daemonSettings.region, daemonSettings.operatorTokenDigest},
              {[this] { return views.current(); },
                  [this] { return follower.number(); },
                  [this](const change_accepted &) {
                      follower.readSoon();
                  }})
    {
        self.id = identity.id;
        self.life = identity.life;
        self.domain = daemonSettings.domain;
        self.region = daemonSettings.region;
    }

    void readHosts()
    {
        platform.hosts([this](const host_result &result) {
            loop.after(hostsInterval, [this] { readHosts(); });
            if (const auto *hosts = std::get_if<std::vector<platform_host>>(&result)) {
                adoptHosts(*hosts);
            }
        });
    }

    void adoptHosts(const std::vector<platform_host> &hosts)
    {
        std::vector<member> members {self};
        for (const auto &host : hosts) {
            if (host.id != self.id) {
                members.push_back(memberOf(host));
            }
        }
        std::sort(members.begin(), members.end(), [](const member &left, const member &right) { return left.id < right.id; });
        view.members = std::move(members);
        publish();
    }

    void publish()
    {
        view.number += 1;
        views.publish(std::make_shared<const fleet_view>(view));
        viewChanged();
    }

    void answer(const http_request &request, const http_responder &respond)
    {
        if (request.path == "/metrics") {
            respond({.status = 200, .body = figures.text(), .contentType = "text/plain; version=0.0.4"});
        } else if (request.path.starts_with("/v1/admin/")) {
            admin.handle(request, respond);
        } else {
            respond({.status = 404, .body = R"({"title":"no such path"})", .contentType = "application/problem+json"});
        }
    }

    daemon_settings settings;
    view_publisher &views;
    metrics &figures;
    member self;
    reactor loop;
    http_client http;
    platform_client platform;
    config_follower follower;
    operators_api admin;
    std::unique_ptr<http_server> operators;
    fleet_view view;
    std::function<void()> viewChanged = [] {
    };
};

control_runtime::control_runtime(const daemon_settings &settings, const peer_identity &self, view_publisher &views, metrics &registry)
    : m_implementation(std::make_unique<implementation>(settings, self, views, registry))
{
}

control_runtime::~control_runtime() = default;

leaf::result<control_runtime::addresses> control_runtime::listen()
{
    auto &self = *m_implementation;
    BOOST_LEAF_ASSIGN(self.operators,
        http_server::listen(
            self.loop, self.settings.operators, [&self](const http_request &request, const http_responder &respond) { self.answer(request, respond); }));
    return addresses {self.operators->address(), self.settings.control};
}

void control_runtime::start(const ip_address &traffic, std::function<void()> viewChanged)
{
    auto &self = *m_implementation;
    self.self.traffic = traffic;
    self.self.control = self.settings.control;
    self.viewChanged = std::move(viewChanged);
    self.view.members = {self.self};
    self.follower.start();
    self.readHosts();
}

void control_runtime::announceLeaving()
{
    m_implementation->self.state = member_state::leaving;
}

reactor &control_runtime::loop()
{
    return m_implementation->loop;
}

} // namespace daisystile
