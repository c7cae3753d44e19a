#pragma once

#include "Connection/connection.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace daisystile {

/// Simulates several membership cores with a shared clock and a queue of datagrams.
class member_fleet
{
public:
    struct node
    {
        std::optional<membership> core;
        member self;
        bool paused = false;
        std::uint64_t sent = 0;
        std::uint64_t sentBytes = 0;
        /// Number of members that joined or left this node's view; suspicion does not count.
        std::uint64_t changes = 0;
        std::vector<std::pair<daemon_id, incarnation>> running;
        bool superseded = false;
        std::vector<datagram_received> buffered;
    };

    explicit member_fleet(std::uint64_t seed)
        : random(seed)
    {
    }

    void start(const std::string &id, const std::string &domain, std::uint64_t incarnationNumber = 1)
    {
        auto &started = nodes[id];
        if (started.self.control.port == 0) {
            started.self.control = {"127.0.0.1", static_cast<std::uint16_t>(nodes.size())};
            addresses[started.self.control.port] = id;
        }
        started.self.id = {id};
        started.self.incarnationNumber = {incarnationNumber};
        started.self.domain = {domain};
        started.self.region = {"south"};
        started.buffered.clear();
        started.paused = false;
        started.core.emplace(membership_settings {}, started.self, random(), now);
        hosts_listed listed;
        for (const auto &[name, other] : nodes) {
            listed.hosts.push_back({other.self.control});
        }
        inject(id, listed);
    }

    void crash(const std::string &id)
    {
        nodes[id].core.reset();
    }

    void pause(const std::string &id)
    {
        nodes[id].paused = true;
    }

    void resume(const std::string &id)
    {
        auto &resumed = nodes[id];
        resumed.paused = false;
        for (const auto &event : std::exchange(resumed.buffered, {})) {
            inject(id, event);
        }
    }

    void inject(const std::string &id, const membership_event &event)
    {
        auto &target = nodes[id];
        if (!target.core) {
            return;
        }
        if (target.paused) {
            if (const auto *received = std::get_if<datagram_received>(&event)) {
                target.buffered.push_back(*received);
            }
            return;
        }
        for (auto &action : target.core->decide(event, now)) {
            if (auto *sending = std::get_if<send_datagram>(&action)) {
                ++target.sent;
                if (countBytes) {
                    target.sentBytes += encodeControlDatagram(sending->datagram, "key").size();
                }
                inFlight.push_back({id, std::move(*sending)});
            }
            target.superseded |= std::holds_alternative<incarnation_superseded>(action);
        }
        countChanges(target);
    }

    static void countChanges(node &target)
    {
        std::vector<std::pair<daemon_id, incarnation>> running;
        for (const auto &some : target.core->members()) {
            if (some.state != member_state::leaving) {
                running.emplace_back(some.id, some.incarnationNumber);
            }
        }
        std::vector<std::pair<daemon_id, incarnation>> different;
        std::set_symmetric_difference(running.begin(), running.end(), target.running.begin(), target.running.end(), std::back_inserter(different));
        target.changes += different.size();
        target.running = std::move(running);
    }

    /// Delivers the oldest datagram unless `reaches` drops it.
    void deliverOne()
    {
        auto [from, sending] = std::move(inFlight.front());
        inFlight.pop_front();
        const auto to = addresses.find(sending.to.port);
        if (to != addresses.end() && reaches(from, to->second)) {
            inject(to->second, datagram_received {nodes[from].self.control, std::move(sending.datagram)});
        }
    }

    /// Advances the time tick by tick; datagrams arrive within the tick in which they are sent.
    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += tick;
            for (const auto &[id, some] : nodes) {
                inject(id, membership_tick {});
            }
            while (!inFlight.empty()) {
                deliverOne();
            }
        }
    }

    /// The state of one daemon in another's view; dead when it is unknown there.
    member_state stateOf(const std::string &id, const std::string &as)
    {
        const auto *known = nodes[as].core->table().find({id});
        return known ? known->subject.state : member_state::dead;
    }

    /// Runs until the condition holds, and returns the time that it took; none if the limit is exceeded.
    std::optional<milliseconds> runUntil(const std::function<bool()> &condition, milliseconds limit)
    {
        for (milliseconds waited {0}; waited <= limit; waited += tick) {
            if (condition()) {
                return waited;
            }
            run(tick);
        }
        return std::nullopt;
    }

    /// Advances the time; true if any daemon other than the excepted one had to refute a suspicion.
    bool suspicionArises(milliseconds duration, const std::string &except = {})
    {
        const auto contradictions = [&] {
            std::uint64_t sum = 0;
            for (const auto &[name, some] : nodes) {
                sum += some.core && name != except ? some.core->table().self().refutation : 0;
            }
            return sum;
        };
        const auto before = contradictions();
        run(duration);
        return contradictions() != before;
    }

    bool allAgree(const std::string &id, member_state state)
    {
        for (const auto &[name, some] : nodes) {
            if (some.core && !some.paused && name != id && stateOf(id, name) != state) {
                return false;
            }
        }
        return true;
    }

    static constexpr milliseconds tick {100};
    monotonic_time now {std::chrono::hours {1}};
    std::map<std::string, node> nodes;
    std::map<std::uint16_t, std::string> addresses;
    std::deque<std::pair<std::string, send_datagram>> inFlight;
    std::function<bool(const std::string &from, const std::string &to)> reaches = [](const std::string &, const std::string &) {
        return true;
    };
    bool countBytes = false;
    pcg32 random;
};

} // namespace daisystile
