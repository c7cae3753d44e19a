#include "arrival_schedule.h"

#include <cmath>
#include <pcg_random.hpp>

namespace daisystile {

// A resend picks one of this many most recent numbers.
static constexpr std::size_t resendCandidateCount = 64;

struct arrival_schedule::stream_state
{
    stream_state(const load_plan &plan, const load_stream &source, unsigned thread, std::size_t position)
        : stream(source),
          threads(plan.threads),
          targetCount(plan.targets.size()),
          nextNumber(thread),
          random(plan.seed, thread * plan.streams.size() + position)
    {
        at = static_cast<double>(source.from.count());
        advance();
    }

    double uniform()
    {
        return random() * 0x1p-32;
    }

    void advance()
    {
        const double perMicrosecond = stream.ratePerSecond / 1e6 / threads;
        at = perMicrosecond > 0 ? at - std::log1p(-uniform()) / perMicrosecond : HUGE_VAL;
    }

    bool finished() const
    {
        return at >= static_cast<double>(stream.to.count());
    }

    std::size_t pickTarget()
    {
        if (stream.targets.empty()) {
            return random(static_cast<std::uint32_t>(targetCount));
        }
        return stream.targets[random(static_cast<std::uint32_t>(stream.targets.size()))];
    }

    arrival takeNext(std::size_t position)
    {
        arrival taken {microseconds {static_cast<microseconds::rep>(at)}, position, pickTarget()};
        if (!recentNumbers.empty() && uniform() < stream.resendShare) {
            taken.resend = true;
            taken.number = recentNumbers[random(static_cast<std::uint32_t>(recentNumbers.size()))];
        } else {
            taken.number = stream.distinct == 0 ? nextNumber : nextNumber % stream.distinct;
            nextNumber += threads;
            rememberNumber(taken.number);
        }
        advance();
        return taken;
    }

    void rememberNumber(std::uint64_t number)
    {
        if (stream.resendShare <= 0) {
            return;
        }
        recentNumbers.push_back(number);
        if (recentNumbers.size() > resendCandidateCount) {
            recentNumbers.pop_front();
        }
    }

    const load_stream &stream;
    unsigned threads;
    std::size_t targetCount;
    // Advances by the number of threads, so that no two threads use the same number.
    std::uint64_t nextNumber;
    pcg32 random;
    double at = 0;
    std::deque<std::uint64_t> recentNumbers;
};

arrival_schedule::arrival_schedule(const load_plan &plan, unsigned thread)
{
    for (std::size_t i = 0; i < plan.streams.size(); ++i) {
        m_streams.push_back(std::make_unique<stream_state>(plan, plan.streams[i], thread, i));
    }
}

arrival_schedule::~arrival_schedule() = default;

std::optional<arrival> arrival_schedule::next()
{
    std::size_t earliest = m_streams.size();
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        if (!m_streams[i]->finished() && (earliest == m_streams.size() || m_streams[i]->at < m_streams[earliest]->at)) {
            earliest = i;
        }
    }
    if (earliest == m_streams.size()) {
        return std::nullopt;
    }
    return m_streams[earliest]->takeNext(earliest);
}

} // namespace daisystile
