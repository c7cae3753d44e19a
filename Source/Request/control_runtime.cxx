#include "control_runtime.h"

#include "config_follower.h"

namespace daisystile {

static constexpr milliseconds hostsInterval {500};
// A fleet that starts as a whole has owners for its servers only after this.
static constexpr milliseconds settleTime {2500};
static constexpr milliseconds releaseCheckInterval {20};

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
                  configured = true;
                  publish();
              }),
          fleet(loop, daemonSettings, registry, fleetCallbacks())
    {
        self.id = identity.id;
        self.life = identity.life;
        self.domain = daemonSettings.domain;
        self.region = daemonSettings.region;
    }

    fleet_member::callbacks fleetCallbacks()
    {
        fleet_member::callbacks notify;
        notify.membersChanged = [this](std::vector<member> members) {
            view.members = std::move(members);
            publish();
        };
        notify.leaseChanged = [this](const lease_change &change) {
            follow.leaseChanged(change);
        };
        notify.superseded = [this] {
            follow.superseded();
        };
        return notify;
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

    // The list lags: it only says where other daemons may be found.
    void adoptHosts(const std::vector<platform_host> &hosts)
    {
        std::vector<listed_host> listed;
        for (const auto &host : hosts) {
            listed.push_back({host.control, host.leaving});
        }
        fleet.setHosts(std::move(listed));
    }

    // Leaving is over when the servers have been given up, or their leases have ended.
    void waitForRelease(const std::function<void()> &left, monotonic_time until)
    {
        if (fleet.holdsServers() && loop.now() < until) {
            loop.after(releaseCheckInterval, [this, left, until] { waitForRelease(left, until); });
            return;
        }
        fleet.finishLeaving();
        left();
    }

    void publish()
    {
        view.number += 1;
        view.ready = configured && settled;
        const auto published = std::make_shared<const fleet_view>(view);
        views.publish(published);
        follow.viewChanged();
        fleet.setView(published);
    }

    http_response answer(const http_request &request) const
    {
        if (request.path == "/metrics") {
            return {.status = 200, .body = figures.text(), .contentType = "text/plain; version=0.0.4"};
        }
        return {.status = 404, .body = R"({"title":"no such path"})", .contentType = "application/problem+json"};
    }

    daemon_settings settings;
    view_publisher &views;
    metrics &figures;
    member self;
    reactor loop;
    http_client http;
    platform_client platform;
    config_follower follower;
    std::unique_ptr<http_server> operators;
    fleet_view view;
    fleet_member fleet;
    ip_address controlAddress;
    followers follow;
    bool configured = false;
    bool settled = false;
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
            self.loop, self.settings.operators, [&self](const http_request &request, const http_responder &respond) { respond(self.answer(request)); }));
    BOOST_LEAF_ASSIGN(self.controlAddress, self.fleet.listen());
    return addresses {self.operators->address(), self.controlAddress};
}

void control_runtime::start(const ip_address &traffic, followers follow)
{
    auto &self = *m_implementation;
    self.self.traffic = traffic;
    self.self.control = self.controlAddress;
    self.follow = std::move(follow);
    self.fleet.setHosts({});
    self.fleet.start(self.self);
    self.loop.after(settleTime, [&self] {
        self.settled = true;
        self.publish();
    });
    self.follower.start();
    self.readHosts();
}

void control_runtime::serverQuiet(const server_quiet &quiet)
{
    m_implementation->loop.post([this, quiet] { m_implementation->fleet.serverQuiet(quiet); });
}

void control_runtime::startLeaving()
{
    m_implementation->fleet.startLeaving();
}

void control_runtime::finishLeaving(const std::function<void()> &left)
{
    auto &self = *m_implementation;
    self.waitForRelease(left, self.loop.now() + self.settings.ownershipLease);
}

reactor &control_runtime::loop()
{
    return m_implementation->loop;
}

} // namespace daisystile
