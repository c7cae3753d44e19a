#include "fleet_member.h"

#include "control_codec.h"

#include <optional>

namespace daisystile {

static constexpr milliseconds tickInterval {50};

static std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    for (const unsigned char byte : randomBytes(sizeof seed)) {
        seed = seed << 8U | byte;
    }
    return seed;
}

struct fleet_member::implementation
{
    implementation(reactor &reactorLoop, const daemon_settings &daemonSettings, metrics &registry, callbacks callbackSet)
        : loop(reactorLoop),
          settings(daemonSettings),
          notify(std::move(callbackSet)),
          history(daemonSettings.ownershipLease),
          sentBytes(registry.counter("daisystile_control_sent_bytes_total", "Bytes of control datagrams sent.")),
          sentDatagrams(registry.counter("daisystile_control_sent_datagrams_total", "Control datagrams sent.")),
          refusedDatagrams(
              registry.counter("daisystile_control_refused_datagrams_total", "Received control datagrams that were malformed or had no valid signature.")),
          memberCount(registry.gauge("daisystile_members", "Known daemons that are not dead.")),
          heldCount(registry.gauge("daisystile_owned_servers", "Backend servers on which this daemon holds the lease."))
    {
    }

    static membership_settings membershipSettings(const daemon_settings &from)
    {
        membership_settings result;
        result.probeInterval = from.heartbeat;
        return result;
    }

    static ownership_settings ownershipSettings(const daemon_settings &from)
    {
        ownership_settings result;
        result.lease = from.ownershipLease;
        result.renewEvery = from.ownershipLease / 4;
        return result;
    }

    void receive(const ip_address &from, std::string_view bytes)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(datagram, decodeControlDatagram(bytes, settings.peerKey));
                take(from, std::move(datagram));
                return {};
            },
            [&] { refusedDatagrams.add(); });
    }

    void take(const ip_address &from, control_datagram datagram)
    {
        if (!members) {
            return;
        }
        const auto sender = datagram.sender;
        const auto incarnationNumber = datagram.incarnationNumber;
        const auto message = datagram.message;
        tell(datagram_received {from, std::move(datagram)});
        if (const auto *request = std::get_if<lease_request>(&message)) {
            tell(lease_requested {sender, incarnationNumber, *request});
        } else if (const auto *answer = std::get_if<lease_answer>(&message)) {
            tell(lease_answered {sender, *answer});
        } else if (const auto *release = std::get_if<lease_release>(&message)) {
            tell(lease_released {sender, incarnationNumber, *release});
        } else if (notify.message) {
            notify.message(sender, message);
        }
    }

    void tell(const membership_event &event)
    {
        bool changed = false;
        for (auto &action : members->decide(event, loop.now())) {
            if (auto *sending = std::get_if<send_datagram>(&action)) {
                send(sending->to, sending->datagram);
            } else if (std::holds_alternative<members_changed>(action)) {
                changed = true;
            } else if (const auto *superseded = std::get_if<incarnation_superseded>(&action)) {
                DAISYSTILE_LOG(ERROR, "member") << "Another instance with this daemon's id and a later life is running; this one stops."
                                                << field("life", superseded->by.value);
                notify.superseded();
            }
        }
        if (changed) {
            const auto living = members->members();
            memberCount.set(static_cast<double>(living.size()));
            notify.membersChanged(living);
        }
    }

    void tell(const ownership_event &event)
    {
        for (auto &action : leases->decide(event, loop.now())) {
            std::visit([this](auto &some) { perform(some); }, action);
        }
        heldCount.set(static_cast<double>(leases->heldLeaseCount(loop.now())));
    }

    void perform(send_control &action)
    {
        const auto *known = members->table().find(action.to);
        if (!known) {
            return;
        }
        control_datagram datagram;
        datagram.sender = settings.id;
        datagram.incarnationNumber = members->table().self().subject.incarnationNumber;
        datagram.message = std::move(action.message);
        send(known->subject.control, datagram);
    }

    void perform(const start_serving &action)
    {
        DAISYSTILE_LOG(INFO, "owner") << "Started serving backend server." << field("server", action.server.value) << field("allowed", action.allowed);
        notify.leaseChanged(action);
    }

    void perform(const extend_lease &action) const
    {
        notify.leaseChanged(action);
    }

    void perform(const stop_serving &action)
    {
        DAISYSTILE_LOG(INFO, "owner") << "Stopped serving backend server." << field("server", action.server.value);
        notify.leaseChanged(action);
    }

    void perform(const peer_unresponsive &action)
    {
        tell(member_unresponsive {action.id});
    }

    void send(const ip_address &to, const control_datagram &datagram)
    {
        const auto bytes = encodeControlDatagram(datagram, settings.peerKey);
        sentBytes.add(static_cast<double>(bytes.size()));
        sentDatagrams.add();
        socket->send(to, bytes);
    }

    void tick()
    {
        timer = loop.after(tickInterval, [this] { tick(); });
        tell(membership_tick {});
        tell(ownership_tick {});
    }

    reactor &loop;
    daemon_settings settings;
    callbacks notify;
    std::unique_ptr<datagram_socket> socket;
    std::optional<membership> members;
    std::optional<ownership> leases;
    owner_history history;
    std::vector<listed_host> hosts;
    metric_counter sentBytes;
    metric_counter sentDatagrams;
    metric_counter refusedDatagrams;
    metric_gauge memberCount;
    metric_gauge heldCount;
    timer_id timer = 0;
};

fleet_member::fleet_member(reactor &loop, const daemon_settings &settings, metrics &registry, callbacks notify)
    : m_implementation(std::make_unique<implementation>(loop, settings, registry, std::move(notify)))
{
}

fleet_member::~fleet_member()
{
    m_implementation->loop.cancelTimer(m_implementation->timer);
}

leaf::result<ip_address> fleet_member::listen()
{
    auto &self = *m_implementation;
    const auto receive = [&self](const ip_address &from, std::string_view bytes) {
        self.receive(from, bytes);
    };
    // An attempt before this one may have opened the address, and failed at its TCP counterpart.
    self.socket.reset();
    BOOST_LEAF_ASSIGN(self.socket, datagram_socket::open(self.loop, self.settings.control, receive));
    return self.socket->address();
}

void fleet_member::start(member self)
{
    auto &impl = *m_implementation;
    const auto id = self.id;
    impl.members.emplace(implementation::membershipSettings(impl.settings), std::move(self), randomSeed(), impl.loop.now());
    impl.leases.emplace(implementation::ownershipSettings(impl.settings), id, impl.loop.now());
    impl.tell(hosts_listed {impl.hosts});
    impl.notify.membersChanged(impl.members->members());
    impl.tick();
}

void fleet_member::send(const daemon_id &to, control_message message)
{
    if (m_implementation->members) {
        send_control action {to, std::move(message)};
        m_implementation->perform(action);
    }
}

void fleet_member::setHosts(std::vector<listed_host> hosts)
{
    auto &self = *m_implementation;
    self.hosts = std::move(hosts);
    for (const auto &seed : self.settings.seeds) {
        self.hosts.push_back({seed, false});
    }
    if (self.members) {
        self.tell(hosts_listed {self.hosts});
    }
}

void fleet_member::setView(std::shared_ptr<const fleet_view> view)
{
    auto &self = *m_implementation;
    if (self.leases) {
        self.tell(choices_changed {self.history.replace(owner_map(std::move(view)), self.settings.id, self.loop.now())});
    }
}

void fleet_member::serverIdle(const server_idle &idle)
{
    m_implementation->tell(ownership_event {idle});
}

void fleet_member::startLeaving()
{
    m_implementation->tell(leave_started {});
}

bool fleet_member::holdsServers() const
{
    return m_implementation->leases && m_implementation->leases->servingAny();
}

void fleet_member::finishLeaving()
{
    m_implementation->tell(leave_finished {});
}

} // namespace daisystile
