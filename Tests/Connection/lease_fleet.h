#pragma once

#include "Connection/connection.h"

#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <set>

namespace daisystile {

/// Simulates the ownership cores of one failure domain, with a shared clock, a queue of messages and delayed views.
class lease_fleet
{
public:
    struct node
    {
        std::optional<ownership> core;
        incarnation incarnationNumber {1};
        bool paused = false;
        std::set<std::string> believedDead;
        owner_history choices {ownership_settings {}.lease};
        /// When serving was stopped; the server's requests end by the node's next tick.
        std::map<backend_server_id, monotonic_time> stopping;
        std::map<backend_server_id, std::uint16_t> startedWith;
    };

    struct message
    {
        std::string from;
        incarnation incarnationNumber;
        send_control sending;
    };

    explicit lease_fleet(int daemons, int serverCount = 6)
    {
        auto desk = std::make_shared<service>();
        for (int i = 0; i < serverCount; ++i) {
            desk->servers.push_back({{"s" + std::to_string(i)}, {"a"}});
        }
        config->services[{"desk"}] = desk;
        config->domains[{"a"}] = {{"a"}, {"south"}};
        for (int i = 0; i < daemons; ++i) {
            start("d" + std::to_string(i));
        }
    }

    void start(const std::string &id)
    {
        auto &started = nodes[id];
        ++started.incarnationNumber.value;
        started.paused = false;
        started.stopping.clear();
        started.choices = owner_history(ownership_settings {}.lease);
        started.core.emplace(ownership_settings {}, daemon_id {id}, now);
        for (auto &[name, other] : nodes) {
            other.believedDead.erase(id);
        }
        showAll();
    }

    void crash(const std::string &id)
    {
        nodes[id].core.reset();
    }

    /// Reports to one daemon that another is dead or alive.
    void tell(const std::string &to, const std::string &about, bool dead)
    {
        auto &told = nodes[to].believedDead;
        if (dead) {
            told.insert(about);
        } else {
            told.erase(about);
        }
        show(to);
    }

    void tellOthers(const std::string &about, bool dead)
    {
        for (auto &[id, some] : nodes) {
            if (id != about) {
                tell(id, about, dead);
            }
        }
    }

    void showAll()
    {
        for (const auto &[id, some] : nodes) {
            show(id);
        }
    }

    void show(const std::string &to)
    {
        auto &target = nodes[to];
        auto view = std::make_shared<fleet_view>();
        view->config = config;
        for (const auto &[id, some] : nodes) {
            member daemon;
            daemon.id = {id};
            daemon.domain = {"a"};
            daemon.region = {"south"};
            if (leaving.contains(id)) {
                daemon.state = member_state::leaving;
            }
            if (!target.believedDead.contains(id)) {
                view->members.push_back(daemon);
            }
        }
        inject(to, choices_changed {target.choices.replace(owner_map(view), {to}, now)});
    }

    void inject(const std::string &id, const ownership_event &event)
    {
        auto &target = nodes[id];
        if (!target.core || target.paused) {
            return;
        }
        for (auto &action : target.core->decide(event, now)) {
            if (auto *sending = std::get_if<send_control>(&action)) {
                inFlight.push_back({id, target.incarnationNumber, std::move(*sending)});
            } else if (const auto *stopped = std::get_if<stop_serving>(&action)) {
                target.stopping[stopped->server] = now;
            } else if (const auto *begun = std::get_if<start_serving>(&action)) {
                target.startedWith[begun->server] = begun->allowed;
            }
        }
    }

    void deliverOne()
    {
        const auto delivered = std::move(inFlight.front());
        inFlight.pop_front();
        const auto &to = delivered.sending.to.value;
        if (!reaches(delivered.from, to)) {
            return;
        }
        const daemon_id from {delivered.from};
        if (const auto *request = std::get_if<lease_request>(&delivered.sending.message)) {
            inject(to, lease_requested {from, delivered.incarnationNumber, *request});
        } else if (const auto *answer = std::get_if<lease_answer>(&delivered.sending.message)) {
            inject(to, lease_answered {from, *answer});
        } else if (const auto *release = std::get_if<lease_release>(&delivered.sending.message)) {
            inject(to, lease_released {from, delivered.incarnationNumber, *release});
        }
    }

    void tickNode(const std::string &id)
    {
        auto &target = nodes[id];
        if (target.paused) {
            return;
        }
        inject(id, ownership_tick {});
        for (const auto &[server, since] : std::exchange(target.stopping, {})) {
            inject(id, server_idle {server, allowedWhenStopped});
        }
    }

    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += milliseconds {50};
            for (const auto &[id, some] : nodes) {
                tickNode(id);
            }
            while (!inFlight.empty()) {
                deliverOne();
            }
            maxHolders = std::max(maxHolders, holders());
        }
    }

    /// The greatest number of daemons that may send to the same server now.
    std::size_t holders() const
    {
        std::size_t most = 0;
        for (const auto &server : config->services.begin()->second->servers) {
            most = std::max(most, holdersOf(server.id).size());
        }
        return most;
    }

    std::vector<std::string> holdersOf(const backend_server_id &server) const
    {
        std::vector<std::string> holding;
        for (const auto &[id, some] : nodes) {
            if (some.core && some.core->leaseUntil(server) > now) {
                holding.push_back(id);
            }
        }
        return holding;
    }

    bool allHeldOnce() const
    {
        const auto &servers = config->services.begin()->second->servers;
        return std::all_of(servers.begin(), servers.end(), [&](const backend_server &server) { return holdersOf(server.id).size() == 1; });
    }

    static constexpr std::uint16_t allowedWhenStopped = 3;
    monotonic_time now {std::chrono::hours {1}};
    std::shared_ptr<configuration> config = std::make_shared<configuration>();
    std::map<std::string, node> nodes;
    std::set<std::string> leaving;
    std::deque<message> inFlight;
    std::function<bool(const std::string &, const std::string &)> reaches = [](const std::string &, const std::string &) {
        return true;
    };
    std::size_t maxHolders = 0;
};

} // namespace daisystile
