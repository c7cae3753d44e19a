#include "lease_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

/// Random sequences of ticks, deliveries, losses, pauses, crashes, false reports of death, leaves and returns.
/// State reports reach each daemon within the settle time; only one daemon at a time has a fault.
class ownership_fuzz
{
public:
    explicit ownership_fuzz(std::uint64_t seed)
        : m_fleet(4),
          m_random(seed)
    {
        m_fleet.reaches = [this](const std::string &, const std::string &) {
            return m_random(10) != 0;
        };
        m_fleet.run(milliseconds {4000});
    }

    void step()
    {
        const auto kind = m_random(1000);
        if (kind < 500) {
            m_fleet.now += milliseconds {m_random(20)};
            m_fleet.tickNode(pick());
        } else if (kind < 995) {
            deliverSome();
        } else {
            injectFault();
        }
        deliverReports();
        m_checks += 1;
        m_served += m_fleet.allHeldOnce() ? 1 : 0;
        ASSERT_LE(m_fleet.holders(), 1U);
    }

    /// Share of the steps after which every server had exactly one owner.
    double servedShare() const
    {
        return m_served / m_checks;
    }

private:
    struct state_report
    {
        monotonic_time at;
        std::string to;
        bool dead;
    };

    std::string pick()
    {
        return "d" + std::to_string(m_random(4));
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
        if (!m_faulty.empty() || m_fleet.now < m_noFaultsUntil) {
            return;
        }
        m_faulty = pick();
        const auto kind = m_random(4);
        if (kind == 0) {
            m_fleet.crash(m_faulty);
        } else if (kind == 1) {
            m_fleet.nodes[m_faulty].paused = true;
        } else if (kind == 2) {
            m_fleet.leaving.insert(m_faulty);
        }
        // In the remaining case the daemon works, and the reports of its death are false.
        const milliseconds detection = kind == 2 ? milliseconds {0} : m_settings.failureDetectionTime;
        m_backAt = m_fleet.now + detection + milliseconds {m_random(8000)};
        queueReports(m_fleet.now + detection, true);
    }

    void queueReports(monotonic_time from, bool dead)
    {
        for (const auto &[id, some] : m_fleet.nodes) {
            if (id != m_faulty || m_fleet.leaving.contains(id)) {
                m_reports.push_back({from + milliseconds {m_random(200)}, id, dead});
            }
        }
    }

    void deliverReports()
    {
        for (auto &item : std::exchange(m_reports, {})) {
            if (m_fleet.now < item.at) {
                m_reports.push_back(std::move(item));
            } else if (item.to != m_faulty) {
                m_fleet.tell(item.to, reportSubject(), item.dead);
            } else {
                m_fleet.show(item.to);
            }
        }
        if (!m_faulty.empty() && m_fleet.now >= m_backAt && m_reports.empty()) {
            recover();
        }
    }

    const std::string &reportSubject() const
    {
        return m_faulty;
    }

    void recover()
    {
        auto &node = m_fleet.nodes[m_faulty];
        if (m_fleet.leaving.erase(m_faulty) > 0 || !node.core) {
            m_fleet.start(m_faulty);
        }
        node.paused = false;
        m_fleet.tellOthers(m_faulty, false);
        m_faulty.clear();
        m_noFaultsUntil = m_fleet.now + milliseconds {m_random(10000)};
    }

    const ownership_settings m_settings;
    lease_fleet m_fleet;
    pcg32 m_random;
    std::string m_faulty;
    monotonic_time m_backAt;
    monotonic_time m_noFaultsUntil;
    std::vector<state_report> m_reports;
    double m_checks = 0;
    double m_served = 0;
};

} // namespace

class ownership_seeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ownership_seeds, noServerEverHasTwoOwners)
{
    static constexpr int steps = 100000;
    ownership_fuzz fuzz(GetParam());
    for (int i = 0; i < steps && !HasFatalFailure(); ++i) {
        fuzz.step();
    }
    EXPECT_GT(fuzz.servedShare(), 0.5);
}

INSTANTIATE_TEST_SUITE_P(seeds, ownership_seeds, testing::Range<std::uint64_t>(1, 6));
