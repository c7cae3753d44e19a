#include <Route/route.h>

#include <gtest/gtest.h>

#include <memory>
#include <random>

using namespace daisystile;

namespace {

constexpr unsigned keeperCount = 6;

/// Keepers that pause, lose answers, restart and see a store that comes back from a copy, on one clock. Daemons hold tokens of all that
/// a keeper may hand out, until their lease ends.
class claims_schedule
{
public:
    explicit claims_schedule(std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned i = 0; i < keeperCount; ++i) {
            restart(i);
        }
    }

    double largestSum = 0;
    double usedAtAll = 0;

    void run()
    {
        for (unsigned step = 0; step < 6000; ++step) {
            m_now += milliseconds {draw(1, 40)};
            disturb();
            const auto number = draw(0, keeperCount - 1);
            act(m_keepers[number]);
            landLate();
            const double sum = sumInUse();
            largestSum = std::max(largestSum, sum);
            usedAtAll += sum > 0.5 ? 1 : 0;
        }
    }

private:
    struct keeper_state
    {
        std::unique_ptr<quota_claimer> claimer;
        monotonic_time pausedUntil;
        std::uint64_t era = 0;
        bool writing = false;
        // Answered when it is its turn again; the answer may be lost.
        bool confirmed = false;
        std::uint64_t readVersion = 0;
        quota_claims next;
        double held = 0;
        monotonic_time heldUntil;
    };

    // What a process handed out before it ended.
    struct held_tokens
    {
        double part = 0;
        monotonic_time until;
    };

    unsigned draw(unsigned least, unsigned most)
    {
        return std::uniform_int_distribution<unsigned>(least, most)(m_random);
    }

    void restart(unsigned number)
    {
        if (m_keepers[number].claimer) {
            m_left.push_back({inUse(m_keepers[number]), m_keepers[number].heldUntil});
        }
        m_keepers[number] = {};
        m_keepers[number].claimer =
            std::make_unique<quota_claimer>(daemon_id {std::to_string(number) + "/" + std::to_string(m_processes++)}, quota_claim_times {});
    }

    void disturb()
    {
        if (draw(0, 400) == 0) {
            restart(draw(0, keeperCount - 1));
        }
        if (draw(0, 100) == 0) {
            m_keepers[draw(0, keeperCount - 1)].pausedUntil = m_now + milliseconds {draw(100, 15000)};
        }
        if (draw(0, 300) == 0) {
            m_copy = m_stored;
        }
        if (draw(0, 1500) == 0) {
            m_stored = m_copy;
            ++m_version;
            ++m_era;
        }
    }

    void act(keeper_state &keeper)
    {
        if (m_now < keeper.pausedUntil) {
            return;
        }
        auto &claimer = *keeper.claimer;
        if (keeper.writing) {
            keeper.writing = false;
            keeper.confirmed &&draw(0, 9) > 0 ? claimer.written(m_now) : claimer.notWritten();
            hold(keeper);
            return;
        }
        claimer.want({{m_account, draw(0, 100) / 100.0}});
        if (!claimer.due(m_now)) {
            return;
        }
        m_stored.keepers.empty() ? claimer.readNone(m_era, m_version == 1, m_now) : claimer.read(m_stored, m_era, m_now);
        keeper.readVersion = m_version;
        if (claimer.begin(m_now)) {
            keeper.next = claimer.next({{m_account, m_now < keeper.heldUntil ? keeper.held : 0}}, m_now);
            keeper.writing = true;
            const auto fate = draw(0, 9);
            keeper.confirmed = fate > 0 && land(keeper.next, keeper.readVersion);
            if (fate == 0) {
                m_late.push_back({keeper.next, keeper.readVersion});
            }
        }
    }

    // Daemons use or give back some of their tokens, and take as many as there are.
    void hold(keeper_state &keeper)
    {
        const double used = keeper.held * draw(0, 10) / 10;
        keeper.held = std::max(m_now < keeper.heldUntil ? used : 0, handsOut(keeper));
        keeper.heldUntil = keeper.claimer->leaseEnd();
    }

    double handsOut(const keeper_state &keeper) const
    {
        const auto &parts = keeper.claimer->inUse(m_now);
        const auto found = parts.find(m_account);
        return found == parts.end() ? 0 : found->second;
    }

    double inUse(const keeper_state &keeper) const
    {
        return std::max(handsOut(keeper), m_now < keeper.heldUntil ? keeper.held : 0);
    }

    double sumInUse() const
    {
        double sum = 0;
        for (const auto &keeper : m_keepers) {
            sum += inUse(keeper);
        }
        for (const auto &each : m_left) {
            sum += m_now < each.until ? each.part : 0;
        }
        return sum;
    }

    bool land(const quota_claims &claims, std::uint64_t version)
    {
        if (version != m_version) {
            return false;
        }
        m_stored = claims;
        ++m_version;
        return true;
    }

    // A call without an answer may be executed later if its condition still holds.
    void landLate()
    {
        if (!m_late.empty() && draw(0, 20) == 0) {
            land(m_late.back().first, m_late.back().second);
            m_late.pop_back();
        }
    }

    std::mt19937_64 m_random;
    account_name m_account {"a"};
    std::array<keeper_state, keeperCount> m_keepers;
    std::vector<held_tokens> m_left;
    std::vector<std::pair<quota_claims, std::uint64_t>> m_late;
    quota_claims m_stored;
    quota_claims m_copy;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 0;
    unsigned m_processes = 0;
    monotonic_time m_now {seconds {100}};
};

} // namespace

TEST(quota_claims_fuzz, partsInUseAddUpToOneAtMost)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        claims_schedule schedule(seed);
        schedule.run();
        ASSERT_LE(schedule.largestSum, 1 + 1e-6) << "seed " << seed;
        // The parts are used most of the time.
        ASSERT_GT(schedule.usedAtAll, 2000) << "seed " << seed;
    }
}
