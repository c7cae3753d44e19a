#include "account_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace daisystile {

namespace {

// A daemon of a large fleet hears from an account once in seconds; after a few times this, what an account asked is forgotten.
constexpr seconds demandTime {5};
constexpr int forgetAfter = 3;

} // namespace

// The level at which all that is granted is used, if accounts get all that they ask for up to it.
double account_shares::fullLevel(std::vector<claim> claims, double granted)
{
    std::sort(claims.begin(), claims.end(), [](const auto &left, const auto &right) { return left.work * right.weight < right.work * left.weight; });
    double weights = std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const auto &claim) { return sum + claim.weight; });
    for (const auto &claim : claims) {
        if (claim.work * weights > granted * claim.weight) {
            break;
        }
        granted -= claim.work;
        weights -= claim.weight;
    }
    return weights > 0 ? granted / weights : std::numeric_limits<double>::infinity();
}

double account_shares::workAt(const asked_work &asked, monotonic_time now)
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - asked.updatedAt).count());
    return asked.work * std::exp(-passed / std::chrono::duration<double>(demandTime).count());
}

void account_shares::add(const account_demand &demand, monotonic_time now)
{
    forgetIdle(now);
    auto &asked = m_accounts[demand.account];
    asked.work = workAt(asked, now) + demand.work;
    asked.weight = demand.weight;
    asked.updatedAt = now;
}

void account_shares::forgetIdle(monotonic_time now)
{
    if (now - m_forgotAt < demandTime) {
        return;
    }
    m_forgotAt = now;
    std::erase_if(m_accounts, [&](const auto &each) { return now - each.second.updatedAt > forgetAfter * demandTime; });
}

std::vector<account_shares::claim> account_shares::claims(monotonic_time now) const
{
    const double mean = meanWeight();
    std::vector<claim> claims;
    claims.reserve(m_accounts.size());
    for (const auto &[account, asked] : m_accounts) {
        claims.push_back({asked.weight > 0 ? asked.weight : mean, workAt(asked, now)});
    }
    return claims;
}

double account_shares::meanWeight() const
{
    double sum = 0;
    unsigned count = 0;
    for (const auto &[account, asked] : m_accounts) {
        sum += asked.weight;
        count += asked.weight > 0 ? 1 : 0;
    }
    return count == 0 ? 1 : sum / count;
}

double account_shares::refusedShare(const account_demand &demand, double refusedOfAll, monotonic_time now) const
{
    const auto found = m_accounts.find(demand.account);
    if (refusedOfAll <= 0 || refusedOfAll >= 1 || found == m_accounts.end() || m_accounts.size() == 1) {
        return std::clamp(refusedOfAll, 0.0, 1.0);
    }
    const auto all = claims(now);
    const double asked = std::accumulate(all.begin(), all.end(), 0.0, [](double sum, const auto &each) { return sum + each.work; });
    const double work = workAt(found->second, now);
    const double weight = found->second.weight > 0 ? found->second.weight : meanWeight();
    return std::max(0.0, 1 - weight * fullLevel(all, (1 - refusedOfAll) * asked) / work);
}

} // namespace daisystile
