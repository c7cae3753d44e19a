#pragma once

#include "Connection/connection.h"

#include <map>
#include <pcg_random.hpp>
#include <set>

namespace daisystile {

/// Drives a gate with a simulated server that can become cold, hang under overload while cold, restart and drain.
class gate_driver
{
public:
    struct running_request
    {
        monotonic_time endsAt;
        request_end end;
    };

    explicit gate_driver(gate_settings settings, std::uint64_t seed = 1)
        : slots(settings.slots),
          gate(settings),
          random(seed)
    {
    }

    void arrive(urgency rank = urgency::normal, milliseconds deadline = milliseconds {500})
    {
        const auto id = nextId++;
        open.insert(id);
        inject(request_arrived {{id, rank, now + deadline}});
    }

    void inject(const gate_event &event)
    {
        for (const auto &action : gate.decide(event, now)) {
            if (const auto *run = std::get_if<run_request>(&action)) {
                begin(run->id);
            } else {
                const auto &refused = std::get<refuse_request>(action);
                ++refusals[refused.failure];
                closed += open.erase(refused.id);
            }
        }
    }

    void begin(std::uint64_t id)
    {
        started += 1;
        ranAfterClose += open.contains(id) ? 0 : 1;
        order.push_back(id);
        const bool isCold = now < coldUntil;
        const auto count = running.size() + 1;
        maxRunning = std::max(maxRunning, count);
        if (isCold && count > 1) {
            overColdCapacity += 1;
            hangsUntil = now + milliseconds {2000};
            coldUntil = hangsUntil + warmUp;
        }
        if (draining) {
            startedWhileDraining += 1;
            running[id] = {now + milliseconds {1}, request_end::draining};
        } else if (now < hangsUntil) {
            running[id] = {now + milliseconds {500}, request_end::timed_out};
        } else if (now < downUntil) {
            running[id] = {now + milliseconds {1}, request_end::lost};
        } else {
            const auto spread = 0.8 + 0.4 * random(1000) / 1000.0;
            const auto us = usualUs * spread * (isCold ? coldFactor : 1);
            running[id] = {now + microseconds {static_cast<int>(us)}, request_end::good};
        }
    }

    void restartServer(milliseconds down)
    {
        downUntil = now + down;
        coldUntil = now + down + warmUp;
        for (auto &[id, request] : running) {
            request = {now, request_end::lost};
        }
    }

    /// Advances the time with arrivals at a fixed rate.
    void run(milliseconds duration, int arrivalsPerMs = 2)
    {
        for (const auto end = now + duration; now < end;) {
            now += milliseconds {1};
            for (int i = 0; i < arrivalsPerMs; ++i) {
                arrive();
            }
            endReady();
            inject(gate_tick {});
        }
    }

    void endReady()
    {
        std::vector<std::pair<std::uint64_t, request_end>> ready;
        for (const auto &[id, request] : running) {
            if (request.endsAt <= now) {
                ready.emplace_back(id, request.end);
            }
        }
        for (const auto &[id, end] : ready) {
            running.erase(id);
            closed += open.erase(id);
            good += end == request_end::good;
            inject(request_ended {id, end});
        }
    }

    std::uint32_t slots;
    slot_gate gate;
    pcg32 random;
    monotonic_time now {std::chrono::hours {1}};
    monotonic_time coldUntil;
    monotonic_time hangsUntil;
    monotonic_time downUntil;
    milliseconds warmUp {5000};
    double usualUs = 2000;
    double coldFactor = 3;
    bool draining = false;
    std::uint64_t nextId = 1;
    std::set<std::uint64_t> open;
    std::map<std::uint64_t, running_request> running;
    std::map<attempt_failure, std::size_t> refusals;
    std::vector<std::uint64_t> order;
    std::size_t closed = 0;
    std::size_t started = 0;
    std::size_t good = 0;
    std::size_t maxRunning = 0;
    std::size_t overColdCapacity = 0;
    std::size_t startedWhileDraining = 0;
    std::size_t ranAfterClose = 0;
};

} // namespace daisystile
