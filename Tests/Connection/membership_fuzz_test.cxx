#include "member_fleet.h"

#include <gtest/gtest.h>

#include <tuple>

using namespace daisystile;

namespace {

/// Random sequences of ticks, deliveries, losses, duplicates, pauses, crashes, restarts and partitions.
class membership_fuzz
{
public:
    explicit membership_fuzz(std::uint64_t seed)
        : m_fleet(seed),
          m_random(seed + 1)
    {
        for (const auto *id : {"a0", "a1", "a2", "b0", "b1", "c0"}) {
            m_ids.emplace_back(id);
            m_fleet.start(id, std::string(1, id[0]));
        }
        m_fleet.reaches = [this](const std::string &from, const std::string &to) {
            return m_random(10) != 0 && !isCut(from, to);
        };
    }

    void step()
    {
        const auto kind = m_random(1000);
        if (kind < 600) {
            tickOne();
        } else if (kind < 980) {
            deliverSome();
        } else if (kind < 990) {
            m_cutDomain = "abc."[m_random(4)];
        } else {
            injectFault();
        }
        checkOrder(pick());
    }

    /// Ends all faults and checks that all daemons converge to the same view.
    void settle()
    {
        m_fleet.reaches = [](const std::string &, const std::string &) {
            return true;
        };
        for (const auto &id : m_ids) {
            m_fleet.resume(id);
            if (!m_fleet.nodes[id].core || m_fleet.nodes[id].superseded) {
                restart(id);
            }
        }
        m_fleet.run(milliseconds {30000});
        for (const auto &id : m_ids) {
            EXPECT_TRUE(m_fleet.allAgree(id, member_state::alive)) << id;
            EXPECT_FALSE(m_fleet.nodes[id].superseded) << id;
        }
    }

    void checkCost()
    {
        static constexpr double datagramsPerSecond = 60;
        const std::chrono::duration<double> passed = m_fleet.now.time_since_epoch() - std::chrono::hours {1};
        for (const auto &[id, node] : m_fleet.nodes) {
            EXPECT_LT(static_cast<double>(node.sent) / passed.count(), datagramsPerSecond) << id;
        }
    }

private:
    const std::string &pick()
    {
        return m_ids[m_random(static_cast<std::uint32_t>(m_ids.size()))];
    }

    bool isCut(const std::string &from, const std::string &to) const
    {
        return (from[0] == m_cutDomain) != (to[0] == m_cutDomain);
    }

    void tickOne()
    {
        m_fleet.now += milliseconds {m_random(30)};
        m_fleet.inject(pick(), membership_tick {});
    }

    void deliverSome()
    {
        for (auto count = m_random(6); count > 0 && !m_fleet.inFlight.empty(); --count) {
            if (m_random(20) == 0) {
                m_fleet.inFlight.push_back(m_fleet.inFlight.front());
            }
            if (m_random(10) == 0) {
                std::swap(m_fleet.inFlight.front(), m_fleet.inFlight.back());
            }
            m_fleet.deliverOne();
        }
    }

    void injectFault()
    {
        const auto &id = pick();
        switch (m_random(4)) {
        case 0:
            m_fleet.crash(id);
            m_seen.erase(id);
            break;
        case 1:
            restart(id);
            break;
        case 2:
            m_fleet.pause(id);
            break;
        default:
            m_fleet.resume(id);
        }
    }

    void restart(const std::string &id)
    {
        m_seen.erase(id);
        m_fleet.nodes[id].superseded = false;
        m_fleet.start(id, id.substr(0, 1), ++m_incarnations[id] + 1);
    }

    /// Checks that a daemon's knowledge of another never reverts to an older state.
    void checkOrder(const std::string &as)
    {
        const auto &core = m_fleet.nodes[as].core;
        if (!core) {
            return;
        }
        for (const auto &id : m_ids) {
            const auto *known = core->table().find({id});
            if (!known) {
                continue;
            }
            const std::tuple rank(known->subject.incarnationNumber, known->refutation, known->subject.state);
            auto &before = m_seen[as][id];
            ASSERT_GE(rank, before) << as << " about " << id;
            before = rank;
        }
    }

    member_fleet m_fleet;
    pcg32 m_random;
    std::vector<std::string> m_ids;
    std::map<std::string, std::uint64_t> m_incarnations;
    char m_cutDomain = '.';
    std::map<std::string, std::map<std::string, std::tuple<incarnation, std::uint32_t, member_state>>> m_seen;
};

} // namespace

class membership_seeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(membership_seeds, statesNeverRevertAndViewsConvergeAfterFaults)
{
    static constexpr int steps = 100000;
    membership_fuzz fuzz(GetParam());
    for (int i = 0; i < steps && !HasFatalFailure(); ++i) {
        fuzz.step();
    }
    fuzz.checkCost();
    fuzz.settle();
}

INSTANTIATE_TEST_SUITE_P(seeds, membership_seeds, testing::Range<std::uint64_t>(1, 6));
