#include "quota_claims.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisystile {

namespace {

// Clocks of two hosts differ in rate by less than this share.
constexpr double clockDrift = 0.02;
// Part of the slack that a keeper wants; where there are more of them they share it.
constexpr double wantedSlack = 0.25;
// Part of the slack that is held as tokens; the rest refills in a window.
constexpr double heldSlack = 0.8;
// What nobody wants is claimed in proportion, up to this share; the rest is free for those who need more at once.
constexpr double claimedShare = 0.8;
// Keepers want more than they have demand for; with this share of it there is no hurry.
constexpr double enoughShare = 0.6;
// A claim isn't changed for less than this part of a quota.
constexpr double leastChange = 0.02;
// A claim is kept until this share of it is enough.
constexpr double keptShare = 0.7;
// Parts of the store's text are multiples of a step but for this much.
constexpr double rounding = 1e-9;

double roundedDown(double part)
{
    return std::floor(part * partSteps + rounding) / partSteps;
}

double roundedUp(double part)
{
    return std::ceil(part * partSteps - rounding) / partSteps;
}

double partOf(const quota_parts &parts, const account_name &account)
{
    const auto found = parts.find(account);
    return found == parts.end() ? 0 : found->second;
}

} // namespace

// What is held when a window begins and what refills in it add up to the slack. Small accounts need most of it as burst.
quota_extra extraOf(double slack, double part, milliseconds window)
{
    const double tokens = slack * part;
    return {tokens * heldSlack, tokens * (1 - heldSlack) / std::chrono::duration<double>(window).count()};
}

double slackPartOf(double tokens, double slack)
{
    return slack > 0 ? std::min(1.0, tokens / (slack * heldSlack)) : 0;
}

account_quota handedOut(const account_quota &quota, double overage, milliseconds window)
{
    const double inWindow = quota.rate * std::chrono::duration<double>(window).count();
    return {quota.rate, quota.burst * (1 + overage) + inWindow * std::max(0.0, overage - clockDrift)};
}

quota_claimer::quota_claimer(daemon_id self, quota_claim_times times)
    : m_self(std::move(self)),
      m_times(times),
      m_wanted {{slackAccount, wantedSlack}}
{
}

void quota_claimer::read(const quota_claims &claims, std::uint64_t era, monotonic_time now)
{
    noteRestored(claims, era, now);
    m_stored = claims;
    m_read = true;
    m_pending.reset();
    std::map<daemon_id, seen_keeper> seen;
    for (const auto &[id, keeper] : claims.keepers) {
        const auto before = m_seen.find(id);
        const bool same = before != m_seen.end() && before->second.beat == keeper.beat;
        seen[id] = same ? before->second : seen_keeper {keeper.beat, now};
    }
    m_seen = std::move(seen);
    const auto own = claims.keepers.find(m_self);
    // What was in use before the lease ended may be another keeper's, whatever a restored copy says.
    const bool lapsed = now >= m_leaseEnd;
    limitUse(lapsed || own == claims.keepers.end() ? quota_parts {} : own->second.claimed);
    m_beat = std::max(m_beat, own == claims.keepers.end() ? 0 : own->second.beat);
}

void quota_claimer::readNone(std::uint64_t era, bool firstStart, monotonic_time now)
{
    const bool first = firstStart && !m_era;
    if (!first && m_settledAt <= now) {
        m_settlingEra.reset();
    }
    read({{}, era, first}, era, now);
}

// Once for each era: this keeper has seen an earlier one, or the object was written in one, or others say that they have noticed.
void quota_claimer::noteRestored(const quota_claims &claims, std::uint64_t era, monotonic_time now)
{
    const bool begun = m_era && era > *m_era;
    const bool writtenBefore = claims.era < era && !claims.keepers.empty();
    m_era = era;
    if ((begun || writtenBefore || !claims.settled) && m_settlingEra != era) {
        m_settlingEra = era;
        m_settling = true;
        m_settledAt = now + longestLease();
    }
}

void quota_claimer::want(quota_parts parts)
{
    m_wanted = std::move(parts);
    m_wanted[slackAccount] = wantedSlack;
}

void quota_claimer::limitUse(const quota_parts &parts)
{
    for (auto &[account, part] : m_inUse) {
        part = std::min(part, partOf(parts, account));
    }
}

// A keeper is gone if it has stated nothing new for a lease, as seen by this daemon's clock.
void quota_claimer::removeExpired(quota_claims &claims, monotonic_time now) const
{
    const auto longest = longestLease();
    std::erase_if(claims.keepers, [&](const auto &each) {
        const auto seen = m_seen.find(each.first);
        return each.first != m_self && seen != m_seen.end() && now - seen->second.since > longest;
    });
}

std::optional<unsigned> quota_claimer::freePlace(const quota_claims &claims) const
{
    std::set<unsigned> taken;
    for (const auto &[id, keeper] : claims.keepers) {
        taken.insert(keeper.place);
    }
    for (unsigned place = 0; place < maxQuotaKeepers; ++place) {
        if (!taken.contains(place)) {
            return place;
        }
    }
    return std::nullopt;
}

// What there is goes to those who want it, in proportion. What others still claim can't be taken.
quota_parts quota_claimer::fairParts(const quota_claims &others) const
{
    quota_parts parts;
    const auto stored = m_stored.keepers.find(m_self);
    for (const auto &[account, wanted] : m_wanted) {
        double wantedByOthers = 0;
        double claimedByOthers = 0;
        for (const auto &[id, keeper] : others.keepers) {
            wantedByOthers += id == m_self ? 0 : partOf(keeper.wanted, account);
            claimedByOthers += id == m_self ? 0 : partOf(keeper.claimed, account);
        }
        const double all = wanted + wantedByOthers;
        const double fair = all > claimedShare ? wanted / std::max(1.0, all) : wanted * claimedShare / all;
        const double before = stored == m_stored.keepers.end() ? 0 : partOf(stored->second.claimed, account);
        const bool enough = fair <= before && fair >= before * keptShare && before + wantedByOthers <= 1;
        const double free = std::max(0.0, 1 - claimedByOthers);
        const bool close = before > 0 && std::abs(fair - before) < leastChange;
        const double part = roundedDown(std::min(enough || close ? before : fair, free));
        if (part > 0) {
            parts[account] = part;
        }
    }
    return parts;
}

bool quota_claimer::due(monotonic_time now) const
{
    if (now - m_renewedAt >= m_times.renewal) {
        return true;
    }
    return now >= m_changeFrom && std::any_of(m_wanted.begin(), m_wanted.end(), [this](const auto &each) {
        // A smaller part of the slack lasts as long as there are more keepers.
        const double enough = each.first == slackAccount ? leastChange : each.second * enoughShare;
        return partOf(m_inUse, each.first) < enough;
    });
}

bool quota_claimer::begin(monotonic_time now)
{
    if (!m_read || m_pending) {
        return false;
    }
    m_next = m_stored;
    removeExpired(m_next, now);
    const auto stored = m_stored.keepers.find(m_self);
    const auto place = stored == m_stored.keepers.end() ? freePlace(m_next) : std::optional(stored->second.place);
    if (!place) {
        return false;
    }
    m_beat += 1;
    m_begunAt = now;
    m_pending = keeper_claims {*place, m_beat, fairParts(m_next), m_wanted};
    limitUse(m_pending->claimed);
    return true;
}

quota_claims quota_claimer::next(const quota_parts &held, monotonic_time now)
{
    // No daemon can hold more than this keeper has claimed, so the sum stays what it is in the store. A restored copy may lack the claim.
    const auto stored = m_stored.keepers.find(m_self);
    for (const auto &[account, part] : held) {
        const double before = stored == m_stored.keepers.end() ? 0 : partOf(stored->second.claimed, account);
        const double kept = std::max(partOf(m_pending->claimed, account), std::min(roundedUp(part), m_settling ? 1 : before));
        if (kept > 0) {
            m_pending->claimed[account] = kept;
        }
    }
    m_next.keepers[m_self] = *m_pending;
    m_next.era = m_era.value_or(0);
    m_settling = m_settling && now < m_settledAt;
    m_next.settled = !m_settling;
    return m_next;
}

void quota_claimer::written(monotonic_time now)
{
    if (!m_pending) {
        return;
    }
    auto claimed = std::move(m_pending->claimed);
    m_pending.reset();
    m_read = false;
    m_renewedAt = m_begunAt;
    m_leaseEnd = m_begunAt + m_times.lease;
    const bool more = std::any_of(claimed.begin(), claimed.end(), [this](const auto &each) { return each.second > partOf(m_inUse, each.first); });
    m_changeFrom = now + (more ? m_times.change : m_times.fruitless);
    if (m_settling) {
        limitUse(claimed);
    } else {
        m_inUse = std::move(claimed);
    }
}

void quota_claimer::notWritten()
{
    m_pending.reset();
    m_read = false;
}

const quota_parts &quota_claimer::inUse(monotonic_time now) const
{
    static const quota_parts none;
    return now < m_leaseEnd ? m_inUse : none;
}

milliseconds quota_claimer::longestLease() const
{
    return std::chrono::ceil<milliseconds>(m_times.lease * (1 + clockDrift));
}

monotonic_time quota_claimer::leaseEnd() const
{
    return m_leaseEnd;
}

} // namespace daisystile
