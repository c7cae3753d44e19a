#include "retry_budget.h"

#include <algorithm>
#include <numeric>

namespace daisystile {

namespace {

// Share of the slack that counts as used at startup, because attempts made before a restart are not known.
constexpr double usedSlackAtStart = 0.5;

} // namespace

retry_budget::retry_budget(const retry_budget_limits &terms)
    : m_terms(terms)
{
    m_counts[m_current].extra = terms.slack * usedSlackAtStart;
}

void retry_budget::setTerms(const retry_budget_limits &terms)
{
    m_terms = terms;
}

void retry_budget::advance(monotonic_time now)
{
    const auto length = m_terms.window / static_cast<int>(intervals - 1);
    if (m_currentSince == monotonic_time {}) {
        m_currentSince = now;
    }
    for (std::size_t passed = 0; now - m_currentSince >= length; ++passed) {
        if (passed == intervals) {
            m_currentSince = now;
            return;
        }
        m_current = (m_current + 1) % intervals;
        m_counts[m_current] = {};
        m_currentSince += length;
    }
}

void retry_budget::addRequest(monotonic_time now)
{
    advance(now);
    m_counts[m_current].requests += 1;
}

// Requests of the oldest interval may fall outside the window that ends now and are not counted; its extra attempts are.
double retry_budget::available(monotonic_time now)
{
    advance(now);
    const auto sum = std::accumulate(m_counts.begin(), m_counts.end(), interval_counts {}, [](const auto &left, const auto &right) {
        return interval_counts {left.requests + right.requests, left.extra + right.extra};
    });
    const auto oldest = m_counts[(m_current + 1) % intervals].requests;
    return m_terms.ratio * (sum.requests - oldest) + m_terms.slack - sum.extra;
}

bool retry_budget::takeAboveReserve(double reserve, monotonic_time now)
{
    if (available(now) - reserve < 1) {
        return false;
    }
    m_counts[m_current].extra += 1;
    return true;
}

bool retry_budget::take(monotonic_time now)
{
    return takeAboveReserve(0, now);
}

bool retry_budget::takeForHedge(monotonic_time now)
{
    return takeAboveReserve(m_terms.hedgeReserve, now);
}

} // namespace daisystile
