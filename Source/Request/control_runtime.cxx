#include "control_runtime.h"

#include "config_shell.h"
#include "number_survey.h"
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

static bool sameMembers(const std::vector<member> &left, const std::vector<member> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const member &one, const member &other) {
        return one.id == other.id && one.domain == other.domain && one.traffic == other.traffic && one.control == other.control && one.state == other.state;
    });
}

struct control_runtime::implementation
{
    implementation(const daemon_settings &daemonSettings, const peer_identity &identity, view_publisher &publisher, metrics &registry)
        : settings(daemonSettings),
          views(publisher),
          figures(registry),
          http(loop),
          platform(http, {daemonSettings.platform, daemonSettings.domain}),
          survey(loop, [this](const daemon_id &to) { sendDatagram(to, config_question {}); }),
          admin(loop, platform, {identity.id, daemonSettings.domain, daemonSettings.region, daemonSettings.operatorTokenDigest}, adminCallbacks())
    {
        self.id = identity.id;
        self.life = identity.life;
        self.domain = daemonSettings.domain;
        self.region = daemonSettings.region;
        config = std::make_unique<config_shell>(loop, platform, self, configCallbacks());
    }

    operators_api::callbacks adminCallbacks()
    {
        operators_api::callbacks daemon;
        daemon.view = [this] {
            return views.current();
        };
        daemon.number = [this] {
            return config->digest().number;
        };
        daemon.accepted = [this](const change_accepted &change) {
            config->decide(change_made {change.head});
        };
        daemon.askNumbers = [this](std::function<void(std::vector<member_number>)> done) {
            survey.start(others(), std::move(done));
        };
        return daemon;
    }

    config_shell::callbacks configCallbacks()
    {
        config_shell::callbacks daemon;
        daemon.changed = [this](std::shared_ptr<const configuration> newest, bool ready) {
            view.config = std::move(newest);
            view.ready = ready;
            publish();
        };
        daemon.sendDigest = [this](const daemon_id &to, const config_digest &digest) {
            sendDatagram(to, digest);
        };
        daemon.sendPeer = [this](const daemon_id &to, const peer_message &message) {
            peers->send(to, message);
        };
        return daemon;
    }

    /// UDP and TCP on the same port.
    leaf::result<ip_address> listenControl()
    {
        BOOST_LEAF_ASSIGN(datagrams, datagram_socket::open(loop, settings.control, [this](const ip_address &, std::string_view bytes) { receive(bytes); }));
        peer_network::callbacks notify;
        notify.message = [this](const peer_identity &from, const peer_message &message) {
            receive(from.id, message);
        };
        notify.lost = [](const peer_loss &) {
        };
        peers = std::make_unique<peer_network>(loop, peer_credentials {{self.id, self.life}, settings.peerKey}, std::move(notify));
        return peers->listen(datagrams->address());
    }

    void sendDatagram(const daemon_id &to, const control_message &message)
    {
        for (const auto &one : view.members) {
            if (one.id == to) {
                datagrams->send(one.control, encodeControlDatagram({self.id, self.life, {}, {}, message}, settings.peerKey));
            }
        }
    }

    // What is not signed with the fleet's key, or can't be read, is dropped.
    void receive(std::string_view bytes)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(datagram, decodeControlDatagram(bytes, settings.peerKey));
                receive(datagram);
                return {};
            },
            [] {});
    }

    void receive(const control_datagram &datagram)
    {
        if (const auto *digest = std::get_if<config_digest>(&datagram.message)) {
            survey.heard(datagram.sender, digest->number);
            config->decide(digest_heard {datagram.sender, *digest});
        } else if (std::holds_alternative<config_question>(datagram.message)) {
            sendDatagram(datagram.sender, config->digest());
        }
    }

    void receive(const daemon_id &from, const peer_message &message)
    {
        if (const auto *pull = std::get_if<config_pull>(&message)) {
            config->decide(pull_heard {from, *pull});
        } else if (const auto *update = std::get_if<config_update>(&message)) {
            config->decide(update_heard {from, *update});
        }
    }

    std::vector<member> others() const
    {
        auto members = view.members;
        std::erase_if(members, [this](const member &one) { return one.id == self.id; });
        return members;
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
        if (sameMembers(members, view.members)) {
            return;
        }
        std::vector<peer_address> addresses;
        for (const auto &one : members) {
            if (one.id != self.id) {
                addresses.push_back({one.id, one.control});
            }
        }
        peers->setPeers(addresses);
        view.members = std::move(members);
        publish();
        config->decide(members_told {view.members});
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
    std::unique_ptr<datagram_socket> datagrams;
    std::unique_ptr<peer_network> peers;
    std::unique_ptr<config_shell> config;
    number_survey survey;
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
    BOOST_LEAF_AUTO(control, self.listenControl());
    self.self.control = control;
    return addresses {self.operators->address(), control};
}

void control_runtime::start(const ip_address &traffic, std::function<void()> viewChanged)
{
    auto &self = *m_implementation;
    self.self.traffic = traffic;
    self.viewChanged = std::move(viewChanged);
    self.view.members = {self.self};
    self.config->start();
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
