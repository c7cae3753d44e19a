#include <Version/version.h>

#include <gtest/gtest.h>

#include <random>

using namespace daisystile;

namespace {

const monotonic_time start {};

config_object objectOf(std::uint64_t index)
{
    return {config_kind::contract, "customer-" + std::to_string(index)};
}

/// The head and records of the platform, updated as by accepted changes.
class accepted_changes
{
public:
    void accept(const config_object &object)
    {
        m_head.number += 1;
        auto &entry = m_head.entries[object];
        const config_record record {object, {entry.version.value + 1}, {"change-" + std::to_string(m_head.number)}, entry.change, "amel", 0, "text"};
        entry = {record.version, record.change, m_head.number};
        m_records[recordKey(object, record.change)] = record;
    }

    const config_head &head() const
    {
        return m_head;
    }

    list_result list() const
    {
        return object_list {{{headKey, std::to_string(m_head.number), toJson(m_head)}}, {m_head.number}};
    }

    read_result record(const config_object &object, const change_id &change) const
    {
        const auto key = recordKey(object, change);
        return platform_object {key, "1", toJson(m_records.at(key))};
    }

private:
    config_head m_head;
    std::map<std::string, config_record> m_records;
};

member memberOf(unsigned index)
{
    member created;
    created.id.value = "daemon-" + std::to_string(index);
    created.domain.value = index % 2 == 0 ? "sfax-port" : "sfax-medina";
    return created;
}

/// Simulates daemons that synchronize their configuration under faults: daemons restart; messages are lost, delayed and
/// reordered; daemons are cut off from the platform and from each other.
class simulated_fleet
{
public:
    simulated_fleet(unsigned count, std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned index = 0; index < count; ++index) {
            m_members.push_back(memberOf(index));
            m_daemons.emplace_back();
            restart(index);
        }
    }

    /// Of 1000 steps, on average 10 change the configuration, 2 restart a daemon, 2 decide anew whether the platform is up
    /// (1 in 2), 2 whether sfax-port is cut off from the platform (1 in 3), 2 whether the failure domains are partitioned from
    /// each other (1 in 3), 382 advance the time and send a tick to one daemon, and 600 deliver a message.
    void step()
    {
        const auto roll = m_random() % 1000;
        if (roll < 10) {
            m_platform.accept(objectOf(m_random() % 20));
        } else if (roll < 12) {
            restart(pick());
        } else if (roll < 14) {
            m_platformUp = chance(2);
        } else if (roll < 16) {
            m_portCutOffFromPlatform = chance(3);
        } else if (roll < 18) {
            m_domainsPartitioned = chance(3);
        } else if (roll < 400) {
            m_now += milliseconds {m_random() % 50};
            decide(pick(), config_sync_tick {});
        } else {
            deliver();
        }
    }

    /// Ends all faults, runs for the given time and expects every daemon to hold the newest configuration.
    void healAndVerify(seconds time)
    {
        m_platformUp = true;
        m_portCutOffFromPlatform = false;
        m_domainsPartitioned = false;
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += milliseconds {10};
            for (unsigned index = 0; index < m_daemons.size(); ++index) {
                decide(index, config_sync_tick {});
            }
            for (int count = 0; count < 100; ++count) {
                deliver();
            }
        }
        for (const auto &daemon : m_daemons) {
            EXPECT_EQ(daemon.sync->number(), m_platform.head().number);
            EXPECT_TRUE(daemon.sync->ready());
            EXPECT_EQ(daemon.sync->records().size(), m_platform.head().entries.size());
        }
    }

    accepted_changes &platform()
    {
        return m_platform;
    }

private:
    struct daemon_state
    {
        std::optional<config_sync> sync;
        unsigned incarnationNumber = 0;
        bool watching = false;
        std::uint64_t watchedRevision = 0;
        std::map<config_object, std::uint64_t> versions;
        std::uint64_t number = 0;
        /// The number of the platform's head when this incarnation of the daemon started.
        std::uint64_t platformNumberAtStart = 0;
        bool ready = false;
    };

    struct message
    {
        unsigned to;
        unsigned incarnationNumber;
        config_sync_event event;
    };

    /// True with a probability of 1 / oneIn.
    bool chance(unsigned oneIn)
    {
        return m_random() % oneIn == 0;
    }

    unsigned pick()
    {
        return static_cast<unsigned>(m_random() % m_daemons.size());
    }

    void restart(unsigned index)
    {
        auto &daemon = m_daemons[index];
        const auto incarnationNumber = daemon.incarnationNumber + 1;
        daemon = {};
        daemon.incarnationNumber = incarnationNumber;
        daemon.platformNumberAtStart = m_platform.head().number;
        config_sync_settings settings;
        settings.maxUpdateBytes = 8;
        daemon.sync.emplace(settings, m_members[index], m_random(), m_now);
        decide(index, members_updated {m_members});
    }

    // The daemons of sfax-port are those with an even index.
    bool reachesPlatform(unsigned index) const
    {
        return m_platformUp && !(m_portCutOffFromPlatform && index % 2 == 0);
    }

    void decide(unsigned index, const config_sync_event &event)
    {
        auto &daemon = m_daemons[index];
        const auto *listed = std::get_if<head_listed>(&event);
        const auto *list = listed == nullptr ? nullptr : std::get_if<object_list>(&listed->result);
        for (const auto &action : daemon.sync->decide(event, m_now)) {
            std::visit([&](const auto &kind) { perform(index, kind); }, action);
        }
        checkInvariants(daemon, list == nullptr ? 0 : list->revision.number);
    }

    void checkInvariants(daemon_state &daemon, std::uint64_t listedNumber)
    {
        ASSERT_GE(daemon.sync->number(), daemon.number);
        daemon.number = daemon.sync->number();
        for (const auto &[object, record] : daemon.sync->records()) {
            auto &version = daemon.versions[object];
            ASSERT_GE(record->version.value, version) << "a version reverted";
            version = record->version.value;
        }
        if (daemon.ready || !daemon.sync->ready()) {
            return;
        }
        daemon.ready = true;
        ASSERT_GE(daemon.sync->number(), listedNumber) << "ready although the platform reported a newer head";
        if (listedNumber > 0) {
            ASSERT_GE(daemon.sync->number(), daemon.platformNumberAtStart) << "ready with a configuration older than the one in force when it started";
        }
    }

    template<class Event> void send(unsigned to, Event event)
    {
        if (m_queue.size() < maxQueuedMessages) {
            m_queue.push_back({to, m_daemons[to].incarnationNumber, std::move(event)});
        }
    }

    unsigned indexOf(const daemon_id &id) const
    {
        return static_cast<unsigned>(std::stoul(id.value.substr(id.value.find('-') + 1)));
    }

    // Only daemons of different failure domains are partitioned from each other.
    bool isPartitioned(unsigned from, unsigned to) const
    {
        return m_domainsPartitioned && from % 2 != to % 2;
    }

    template<class Event> void sendPeer(unsigned from, const daemon_id &to, Event event)
    {
        const auto index = indexOf(to);
        // 1 in 10 messages between daemons is lost.
        if (!isPartitioned(from, index) && !chance(10)) {
            send(index, std::move(event));
        }
    }

    void perform(unsigned from, const send_digest &action)
    {
        sendPeer(from, action.to, digest_received {m_members[from].id, action.digest});
    }

    void perform(unsigned from, const send_pull &action)
    {
        sendPeer(from, action.to, pull_received {m_members[from].id, action.pull});
    }

    void perform(unsigned from, const send_update &action)
    {
        sendPeer(from, action.to, update_received {m_members[from].id, action.update});
    }

    void perform(unsigned from, const list_head &)
    {
        send(from, head_listed {reachesPlatform(from) ? m_platform.list() : list_result(platform_unavailable {"cut"})});
    }

    void perform(unsigned from, const read_record &action)
    {
        const bool up = reachesPlatform(from);
        send(
            from, record_read {action.object, action.change, up ? m_platform.record(action.object, action.change) : read_result(platform_unavailable {"cut"})});
    }

    void perform(unsigned from, const watch_head &action)
    {
        m_daemons[from].watching = true;
        m_daemons[from].watchedRevision = action.after.number;
    }

    void perform(unsigned from, const stop_watch &)
    {
        m_daemons[from].watching = false;
    }

    void perform(unsigned, const config_changed &)
    {
    }

    void endWatch(unsigned index)
    {
        auto &daemon = m_daemons[index];
        if (!daemon.watching) {
            return;
        }
        if (!reachesPlatform(index)) {
            daemon.watching = false;
            send(index, watch_ended {platform_unavailable {"cut"}});
        } else if (m_platform.head().number > daemon.watchedRevision) {
            daemon.watching = false;
            // 1 in 5 watches with news ends because the platform no longer keeps the changes since the watched revision.
            if (chance(5)) {
                send(index, watch_ended {watch_compacted {}});
                return;
            }
            const auto list = std::get<object_list>(m_platform.list());
            send(index, watch_ended {watch_batch {{{list.revision, list.objects[0]}}, list.revision}});
        }
    }

    void deliver()
    {
        endWatch(pick());
        if (m_queue.empty()) {
            return;
        }
        const auto position = m_random() % m_queue.size();
        auto delivered = std::move(m_queue[position]);
        m_queue[position] = std::move(m_queue.back());
        m_queue.pop_back();
        if (delivered.incarnationNumber == m_daemons[delivered.to].incarnationNumber) {
            decide(delivered.to, delivered.event);
        }
    }

    static constexpr std::size_t maxQueuedMessages = 5000;

    std::mt19937_64 m_random;
    monotonic_time m_now = start;
    accepted_changes m_platform;
    std::vector<member> m_members;
    std::vector<daemon_state> m_daemons;
    std::vector<message> m_queue;
    bool m_platformUp = true;
    bool m_portCutOffFromPlatform = false;
    bool m_domainsPartitioned = false;
};

template<class Action> bool holds(const std::vector<config_sync_action> &actions)
{
    return std::any_of(actions.begin(), actions.end(), [](const config_sync_action &action) { return std::holds_alternative<Action>(action); });
}

} // namespace

TEST(config_sync, isNotReadyUntilThePlatformOrEnoughPeersReportTheNewest)
{
    const std::vector<member> members {memberOf(0), memberOf(1), memberOf(2), memberOf(3)};
    config_sync sync({}, members[0], 1, start);
    sync.decide(members_updated {members}, start);
    EXPECT_TRUE(holds<list_head>(sync.decide(config_sync_tick {}, start)));
    sync.decide(head_listed {platform_unavailable {"down"}}, start);
    for (unsigned peer = 1; peer <= 2; ++peer) {
        sync.decide(digest_received {members[peer].id, {0, true}}, start);
    }
    sync.decide(digest_received {members[3].id, {0, false}}, start);
    const auto afterPlatformStartTimeout = start + seconds {3};
    sync.decide(config_sync_tick {}, afterPlatformStartTimeout);
    EXPECT_FALSE(sync.ready()) << "a peer that is not ready was counted";
    sync.decide(digest_received {members[3].id, {1, true}}, afterPlatformStartTimeout);
    EXPECT_FALSE(sync.ready()) << "a peer holds a newer configuration";
    sync.decide(update_received {members[3].id, {0, 1, {{{objectOf(1), {1}, {"c"}, {}, "amel", 0, "text"}, 1}}}}, afterPlatformStartTimeout);
    EXPECT_TRUE(sync.ready());
}

TEST(config_sync, choosesTwoWatchersInEachFailureDomain)
{
    std::vector<member> members;
    for (unsigned index = 0; index < 40; ++index) {
        members.push_back(memberOf(index));
    }
    std::map<std::string, unsigned> watchers;
    for (const auto &self : members) {
        config_sync sync({}, self, 1, start);
        sync.decide(members_updated {members}, start);
        watchers[self.domain.value] += sync.isWatcher() ? 1 : 0;
    }
    EXPECT_EQ(watchers["sfax-port"], 2U);
    EXPECT_EQ(watchers["sfax-medina"], 2U);
}

TEST(config_sync, rejectsUpdatesThatLeaveAGapOrAreOlder)
{
    config_sync sync({}, memberOf(0), 1, start);
    const config_change change {{objectOf(1), {5}, {"c"}, {}, "amel", 0, "text"}, 9};
    sync.decide(update_received {memberOf(1).id, {4, 9, {change}}}, start);
    EXPECT_EQ(sync.number(), 0U);
    sync.decide(update_received {memberOf(1).id, {0, 9, {change}}}, start);
    EXPECT_EQ(sync.number(), 9U);
    auto older = change;
    older.record.version.value = 4;
    older.number = 8;
    sync.decide(update_received {memberOf(1).id, {0, 8, {older}}}, start);
    EXPECT_EQ(sync.records().at(objectOf(1))->version.value, 5U);
}

TEST(config_sync, neverRevertsAndConvergesUnderFaultsAndRestarts)
{
    constexpr std::uint64_t firstSeed = 11;
    constexpr std::uint64_t lastSeed = 14;
    constexpr int stepsPerSeed = 100000;
    for (auto seed = firstSeed; seed <= lastSeed; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        simulated_fleet fleet(8, seed);
        for (int step = 0; step < stepsPerSeed && !HasFatalFailure(); ++step) {
            fleet.step();
        }
        fleet.healAndVerify(seconds {5});
    }
}
