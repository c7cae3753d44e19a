#include "lease_fleet.h"

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

/// Random orders of ticks, arrivals, losses, pauses, crashes, false reports of death, leaving and coming back.
/// News reaches each daemon within the settle time; one daemon at a time is in trouble.
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
            disturb();
        }
        spreadNews();
        m_checks += 1;
        m_served += m_fleet.allHeldOnce() ? 1 : 0;
        ASSERT_LE(m_fleet.holders(), 1U);
    }

    /// Share of the moments at which every server had its owner.
    double servedShare() const
    {
        return m_served / m_checks;
    }

private:
    struct news
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
        for (auto count = m_random(6); count > 0 && !m_fleet.underway.empty(); --count) {
            if (m_random(20) == 0) {
                m_fleet.underway.push_back(m_fleet.underway.front());
            }
            if (m_random(10) == 0) {
                std::swap(m_fleet.underway.front(), m_fleet.underway.back());
            }
            m_fleet.deliverOne();
        }
    }

    void disturb()
    {
        if (!m_troubled.empty() || m_fleet.now < m_calmUntil) {
            return;
        }
        m_troubled = pick();
        const auto kind = m_random(4);
        if (kind == 0) {
            m_fleet.crash(m_troubled);
        } else if (kind == 1) {
            m_fleet.nodes[m_troubled].paused = true;
        } else if (kind == 2) {
            m_fleet.leaving.insert(m_troubled);
        }
        // In the last case the others are wrong.
        const milliseconds detection = kind == 2 ? milliseconds {0} : m_settings.lossDetection;
        m_backAt = m_fleet.now + detection + milliseconds {m_random(8000)};
        queueNews(m_fleet.now + detection, true);
    }

    void queueNews(monotonic_time from, bool dead)
    {
        for (const auto &[id, some] : m_fleet.nodes) {
            if (id != m_troubled || m_fleet.leaving.contains(id)) {
                m_news.push_back({from + milliseconds {m_random(200)}, id, dead});
            }
        }
    }

    void spreadNews()
    {
        for (auto &item : std::exchange(m_news, {})) {
            if (m_fleet.now < item.at) {
                m_news.push_back(std::move(item));
            } else if (item.to != m_troubled) {
                m_fleet.tell(item.to, newsAbout(), item.dead);
            } else {
                m_fleet.show(item.to);
            }
        }
        if (!m_troubled.empty() && m_fleet.now >= m_backAt && m_news.empty()) {
            comeBack();
        }
    }

    const std::string &newsAbout() const
    {
        return m_troubled;
    }

    void comeBack()
    {
        auto &node = m_fleet.nodes[m_troubled];
        if (m_fleet.leaving.erase(m_troubled) > 0 || !node.core) {
            m_fleet.start(m_troubled);
        }
        node.paused = false;
        m_fleet.tellOthers(m_troubled, false);
        m_troubled.clear();
        m_calmUntil = m_fleet.now + milliseconds {m_random(10000)};
    }

    const ownership_settings m_settings;
    lease_fleet m_fleet;
    pcg32 m_random;
    std::string m_troubled;
    monotonic_time m_backAt;
    monotonic_time m_calmUntil;
    std::vector<news> m_news;
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
