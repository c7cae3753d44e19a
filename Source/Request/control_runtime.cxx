#include "control_runtime.h"

#include "config_number_survey.h"
#include "config_replicator.h"
#include "operators_api.h"

namespace daisystile {

static constexpr milliseconds hostPollInterval {500};
// Readiness is reported only after this: when a whole fleet starts, its servers have no owners before then.
static constexpr milliseconds startupSettleTime {2500};
static constexpr milliseconds releaseCheckInterval {20};
static constexpr unsigned portAttempts = 16;

struct control_runtime::implementation
{
    implementation(const daemon_settings &daemonSettings, const peer_identity &identity, view_publisher &publisher, metrics &registry)
        : settings(daemonSettings),
          views(publisher),
          metricRegistry(registry),
          http(loop),
          platform(http, {daemonSettings.platform, daemonSettings.domain}),
          survey(loop, [this](const daemon_id &to) { fleet.send(to, config_question {}); }),
          admin(loop, platform, {identity.id, daemonSettings.domain, daemonSettings.region, daemonSettings.operatorTokenDigest}, adminCallbacks()),
          fleet(loop, daemonSettings, registry, fleetCallbacks())
    {
        self.id = identity.id;
        self.incarnationNumber = identity.incarnationNumber;
        self.domain = daemonSettings.domain;
        self.region = daemonSettings.region;
        config = std::make_unique<config_replicator>(loop, platform, self, configCallbacks());
    }

    operators_api::callbacks adminCallbacks()
    {
        operators_api::callbacks daemon;
        daemon.view = [this] {
            return views.current();
        };
        daemon.number = [this] {
            return config->number();
        };
        daemon.accepted = [this](const change_accepted &change) {
            config->decide(change_accepted_here {change.head});
        };
        daemon.requestNumbers = [this](std::function<void(std::vector<member_config_number>)> done) {
            survey.start(others(), std::move(done));
        };
        return daemon;
    }

    config_replicator::callbacks configCallbacks()
    {
        config_replicator::callbacks daemon;
        daemon.changed = [this](std::shared_ptr<const configuration> newest, bool ready) {
            view.config = std::move(newest);
            configured = ready;
            publish();
        };
        daemon.sendDigest = [this](const daemon_id &to, const config_digest &digest) {
            fleet.send(to, digest);
        };
        daemon.sendPeer = [this](const daemon_id &to, const peer_message &message) {
            peers->send(to, message);
        };
        return daemon;
    }

    // Port 0 selects a free UDP port whose TCP counterpart may be in use; then another port is tried.
    leaf::result<void> listenControl()
    {
        const unsigned attempts = settings.control.port == 0 ? portAttempts : 1;
        for (unsigned attempt = 1;; ++attempt) {
            BOOST_LEAF_ASSIGN(controlAddress, fleet.listen());
            auto opened = listenForPulls();
            if (opened || attempt == attempts) {
                return opened;
            }
        }
    }

    // Listens for TCP on the port number of the datagram socket.
    leaf::result<void> listenForPulls()
    {
        peer_network::callbacks notify;
        notify.message = [this](const peer_identity &from, const peer_message &message) {
            receive(from.id, message);
        };
        notify.lost = [](const peer_loss &) {
        };
        peers = std::make_unique<peer_network>(loop, peer_credentials {{self.id, self.incarnationNumber}, settings.peerKey}, std::move(notify));
        BOOST_LEAF_CHECK(peers->listen(controlAddress));
        return {};
    }

    void receive(const daemon_id &from, const control_message &message)
    {
        if (const auto *digest = std::get_if<config_digest>(&message)) {
            survey.receive(from, digest->number);
            config->decide(digest_received {from, *digest});
        } else if (std::holds_alternative<config_question>(message)) {
            fleet.send(from, config->digest());
        }
    }

    void receive(const daemon_id &from, const peer_message &message)
    {
        if (const auto *pull = std::get_if<config_pull>(&message)) {
            config->decide(pull_received {from, *pull});
        } else if (const auto *update = std::get_if<config_update>(&message)) {
            config->decide(update_received {from, *update});
        }
    }

    std::vector<member> others() const
    {
        auto members = view.members;
        std::erase_if(members, [this](const member &one) { return one.id == self.id; });
        return members;
    }

    void applyMembers(std::vector<member> members)
    {
        std::vector<peer_address> addresses;
        addresses.reserve(members.size());
        for (const auto &one : members) {
            if (one.id != self.id) {
                addresses.push_back({one.id, one.control});
            }
        }
        peers->setPeers(addresses);
        view.members = std::move(members);
        publish();
        config->decide(members_updated {view.members});
    }

    fleet_member::callbacks fleetCallbacks()
    {
        fleet_member::callbacks notify;
        notify.membersChanged = [this](std::vector<member> members) {
            applyMembers(std::move(members));
        };
        notify.message = [this](const daemon_id &from, const control_message &message) {
            receive(from, message);
        };
        notify.leaseChanged = [this](const lease_change &change) {
            observers.leaseChanged(change);
        };
        notify.superseded = [this] {
            observers.superseded();
        };
        return notify;
    }

    void readHosts()
    {
        platform.hosts([this](const host_result &result) {
            loop.after(hostPollInterval, [this] { readHosts(); });
            if (const auto *hosts = std::get_if<std::vector<platform_host>>(&result)) {
                applyHosts(*hosts);
            }
        });
    }

    // The platform's host list may be out of date; it is used only to discover other daemons.
    void applyHosts(const std::vector<platform_host> &hosts)
    {
        std::vector<listed_host> listed;
        listed.reserve(hosts.size());
        for (const auto &host : hosts) {
            listed.push_back({host.control, host.leaving});
        }
        fleet.setHosts(std::move(listed));
    }

    // Leaving ends when the servers have been released or their leases have expired.
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
        observers.viewChanged();
        fleet.setView(published);
    }

    void handleRequest(const http_request &request, const http_responder &respond)
    {
        if (request.path == "/metrics") {
            respond({.status = 200, .body = metricRegistry.text(), .contentType = "text/plain; version=0.0.4"});
        } else if (request.path.starts_with("/v1/admin/")) {
            admin.handle(request, respond);
        } else {
            respond({.status = 404, .body = R"({"title":"no such path"})", .contentType = "application/problem+json"});
        }
    }

    daemon_settings settings;
    view_publisher &views;
    metrics &metricRegistry;
    member self;
    reactor loop;
    http_client http;
    platform_client platform;
    std::unique_ptr<config_replicator> config;
    std::unique_ptr<peer_network> peers;
    config_number_survey survey;
    operators_api admin;
    std::unique_ptr<http_server> operators;
    fleet_view view;
    fleet_member fleet;
    ip_address controlAddress;
    change_callbacks observers;
    bool configured = false;
    bool settled = false;
};

control_runtime::control_runtime(const daemon_settings &settings, const peer_identity &self, view_publisher &views, metrics &registry)
    : m_implementation(std::make_unique<implementation>(settings, self, views, registry))
{
}

control_runtime::~control_runtime() = default;

leaf::result<std::optional<control_runtime::addresses>> control_runtime::listen()
{
    auto &self = *m_implementation;
    const auto openOperators = [&self]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(
            self.operators, http_server::listen(self.loop, self.settings.operators, [&self](const http_request &request, const http_responder &respond) {
                self.handleRequest(request, respond);
            }));
        return {};
    };
    BOOST_LEAF_AUTO(operatorsOpen, openBeforeRunning("operators", self.settings.operators, openOperators));
    if (!operatorsOpen) {
        return std::optional<addresses>();
    }
    BOOST_LEAF_AUTO(controlOpen, openBeforeRunning("control", self.settings.control, [&self] { return self.listenControl(); }));
    return controlOpen ? std::optional(addresses {self.operators->address(), self.controlAddress}) : std::nullopt;
}

void control_runtime::start(const ip_address &traffic, change_callbacks observers)
{
    auto &self = *m_implementation;
    self.self.traffic = traffic;
    self.self.control = self.controlAddress;
    self.observers = std::move(observers);
    self.fleet.setHosts({});
    self.fleet.start(self.self);
    self.loop.after(startupSettleTime, [&self] {
        self.settled = true;
        self.publish();
    });
    self.config->start();
    self.readHosts();
}

void control_runtime::serverIdle(const server_idle &idle)
{
    m_implementation->loop.post([this, idle] { m_implementation->fleet.serverIdle(idle); });
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

void control_runtime::addOperatorsPath(const std::string &path, http_handler handler)
{
    m_implementation->admin.add(path, std::move(handler));
}

} // namespace daisystile
