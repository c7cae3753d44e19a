#include "claim_journal.h"

#include <algorithm>

namespace daisystile {

// Stands for a result that is too large to be kept.
static constexpr const char *resultNotKept = R"({"result":"too large to be kept"})";

struct claim_journal::event_visitor
{
    claim_journal &self;

    void operator()(const ownership_gained &) const
    {
        self.gained();
    }
    void operator()(const ownership_ended &) const
    {
        self.ended();
    }
    void operator()(const execute_asked &event) const
    {
        self.asked(event);
    }
    void operator()(const run_reported &event) const
    {
        self.reported(event);
    }
    void operator()(const segments_listed &event) const
    {
        self.listed(event);
    }
    void operator()(const segment_written &event) const
    {
        self.written(event.result);
    }
    void operator()(const segment_read &event) const
    {
        self.read(event.result);
    }
    void operator()(const time_passed &) const
    {
    }
};

claim_journal::claim_journal(std::uint32_t partition, daemon_id owner, incarnation life, journal_limits limits)
    : m_partition(partition),
      m_self {std::move(owner), life, 0},
      m_limits(limits)
{
}

std::vector<journal_action> claim_journal::decide(const journal_event &event, const journal_time &time)
{
    m_time = time;
    std::visit(event_visitor {*this}, event);
    advance();
    return std::exchange(m_actions, {});
}

bool claim_journal::idle() const
{
    return m_phase == phase::idle && m_open.empty();
}

std::size_t claim_journal::keptKeys() const
{
    return m_kept.size();
}

void claim_journal::gained()
{
    if (std::any_of(m_attempts.begin(), m_attempts.end(), [](const write_attempt &attempt) { return attempt.released; })) {
        // The next owner may not wait for us any more.
        m_regained = true;
        return;
    }
    m_ending = false;
    if (m_phase == phase::idle) {
        reset();
        m_phase = phase::loading;
    }
}

void claim_journal::ended()
{
    m_regained = false;
    // Before its first claim it may not release: the lease of the owner before it still runs.
    if (m_phase == phase::holding && m_takeoverWritten && m_time.now >= m_claimsFrom) {
        m_ending = true;
        refuseClaims();
        return;
    }
    refuseClaims();
    reset();
    m_phase = phase::idle;
}

void claim_journal::asked(const execute_asked &ask)
{
    if (askedOpen(ask) || askedKept(ask)) {
        return;
    }
    if (m_ending || m_phase == phase::idle || m_phase == phase::fenced) {
        answer(ask.waiter, run_outcome::unknown, attempt_failure::not_owner);
        return;
    }
    if (m_platformDown) {
        answer(ask.waiter, unclaimedOutcome(), attempt_failure::platform_down);
        return;
    }
    if (!claimsAllowed()) {
        m_queue.push_back(ask);
        return;
    }
    const auto expiresAt = m_time.wallSeconds + ask.retentionSeconds;
    m_open[ask.key] = {ask.request, expiresAt, ask.retentionSeconds, false, {{ask.waiter, ask.deadline}}};
    append(claim_made {ask.key, ask.request, expiresAt});
}

bool claim_journal::askedOpen(const execute_asked &ask)
{
    const auto open = m_open.find(ask.key);
    if (open == m_open.end()) {
        return false;
    }
    if (open->second.request != ask.request) {
        answer(ask.waiter, run_outcome::unknown, attempt_failure::key_reused);
    } else if (!open->second.running && m_platformDown) {
        answer(ask.waiter, unclaimedOutcome(), attempt_failure::platform_down);
    } else {
        open->second.waiters.push_back({ask.waiter, ask.deadline});
    }
    return true;
}

bool claim_journal::askedKept(const execute_asked &ask)
{
    const auto kept = m_kept.find(ask.key);
    if (kept == m_kept.end()) {
        return false;
    }
    const auto &claim = kept->second;
    if (claim.request != ask.request) {
        answer(ask.waiter, run_outcome::unknown, attempt_failure::key_reused);
    } else if (claim.ended && claim.outcome == run_outcome::done) {
        answer(ask.waiter, run_outcome::done, attempt_failure::none, claim.body);
    } else {
        answer(ask.waiter, run_outcome::unknown, attempt_failure::server_lost);
    }
    return true;
}

void claim_journal::reported(const run_reported &report)
{
    const auto found = m_open.find(report.key);
    if (found == m_open.end() || !found->second.running) {
        return;
    }
    const auto claim = std::move(found->second);
    m_open.erase(found);
    answerAll(claim.waiters, report.outcome, report.failure, report.body);
    if (m_phase != phase::holding) {
        // The journal is another's now and holds the claim: a resend learns unknown, and nothing runs twice.
        return;
    }
    if (report.outcome == run_outcome::not_run) {
        m_kept.erase(report.key);
        append(claim_released {report.key});
        return;
    }
    keepResult(report, claim);
}

void claim_journal::keepResult(const run_reported &report, const open_claim &claim)
{
    const auto expiresAt = m_time.wallSeconds + claim.retentionSeconds;
    auto body = report.body.size() > m_limits.resultBytes ? std::string(resultNotKept) : report.body;
    m_kept[report.key] = {claim.request, true, report.outcome, body, expiresAt};
    m_expiries.emplace(expiresAt, report.key);
    append(claim_ended {report.key, report.outcome, std::move(body), expiresAt});
}

void claim_journal::append(claim_event event)
{
    auto line = encodeClaimEvent(event);
    m_pending.push_back({std::move(event), std::move(line), m_time.now});
}

std::size_t claim_journal::possiblyWritten() const
{
    std::size_t events = 0;
    for (const auto &attempt : m_attempts) {
        events = std::max(events, attempt.events);
    }
    return events;
}

void claim_journal::dropUnwrittenClaim(const claim_key &key)
{
    const auto first = m_pending.begin() + static_cast<std::ptrdiff_t>(possiblyWritten());
    const auto isClaim = [&](const pending_event &pending) {
        const auto *made = std::get_if<claim_made>(&pending.event);
        return made != nullptr && made->key == key;
    };
    const auto found = std::find_if(first, m_pending.end(), isClaim);
    if (found != m_pending.end()) {
        m_pending.erase(found);
        m_open.erase(key);
    }
}

void claim_journal::refuseClaims()
{
    const auto failure = m_ending ? attempt_failure::not_owner : attempt_failure::platform_down;
    for (const auto &ask : std::exchange(m_queue, {})) {
        answer(ask.waiter, unclaimedOutcome(), failure);
    }
    std::vector<claim_key> refused;
    for (auto &[key, claim] : m_open) {
        if (!claim.running) {
            answerAll(std::exchange(claim.waiters, {}), unclaimedOutcome(), failure);
            refused.push_back(key);
        }
    }
    for (const auto &key : refused) {
        dropUnwrittenClaim(key);
    }
}

void claim_journal::askQueueAgain()
{
    for (const auto &ask : std::exchange(m_queue, {})) {
        asked(ask);
    }
}

void claim_journal::expireWaiters()
{
    const auto late = [this](monotonic_time deadline) {
        return deadline <= m_time.now;
    };
    for (auto ask = m_queue.begin(); ask != m_queue.end();) {
        if (!late(ask->deadline)) {
            ++ask;
            continue;
        }
        answer(ask->waiter, unclaimedOutcome(), attempt_failure::too_late);
        ask = m_queue.erase(ask);
    }
    std::vector<claim_key> abandoned;
    for (auto &[key, claim] : m_open) {
        const auto outcome = claim.running ? run_outcome::unknown : unclaimedOutcome();
        const auto failure = claim.running ? attempt_failure::timed_out : attempt_failure::too_late;
        std::erase_if(claim.waiters, [&](const waiting_caller &waiting) {
            if (!late(waiting.deadline)) {
                return false;
            }
            answer(waiting.waiter, outcome, failure);
            return true;
        });
        if (!claim.running && claim.waiters.empty()) {
            abandoned.push_back(key);
        }
    }
    for (const auto &key : abandoned) {
        dropUnwrittenClaim(key);
    }
}

void claim_journal::answer(waiter_id waiter, run_outcome outcome, attempt_failure failure, std::string body)
{
    m_actions.emplace_back(answer_waiter {waiter, outcome, failure, std::move(body)});
}

void claim_journal::answerAll(const std::vector<waiting_caller> &waiters, run_outcome outcome, attempt_failure failure, const std::string &body)
{
    for (const auto &waiting : waiters) {
        answer(waiting.waiter, outcome, failure, body);
    }
}

run_outcome claim_journal::unclaimedOutcome() const
{
    return leaseHolds() ? run_outcome::not_run : run_outcome::unknown;
}

bool claim_journal::leaseHolds() const
{
    return m_phase == phase::holding && m_takeoverWritten && m_contact && m_time.now < *m_contact + m_limits.lease;
}

bool claim_journal::claimsAllowed() const
{
    return m_phase == phase::holding && !m_ending && m_takeoverWritten && m_time.now >= m_claimsFrom;
}

void claim_journal::advance()
{
    if (claimsAllowed()) {
        askQueueAgain();
    }
    expireWaiters();
    expireKept();
    if (m_phase == phase::fenced && m_time.now >= m_retryAt) {
        reset();
        m_phase = phase::loading;
    }
    startPlatformCall();
}

std::optional<monotonic_time> claim_journal::wakeAt() const
{
    std::optional<monotonic_time> earliest = platformCallAt();
    const auto consider = [&](monotonic_time time) {
        earliest = earliest ? std::min(*earliest, time) : time;
    };
    if (m_phase == phase::fenced) {
        consider(m_retryAt);
    }
    if (!m_queue.empty() && m_takeoverWritten) {
        consider(std::max(m_claimsFrom, m_time.now));
    }
    for (const auto &ask : m_queue) {
        consider(ask.deadline);
    }
    for (const auto &[key, claim] : m_open) {
        for (const auto &waiting : claim.waiters) {
            consider(waiting.deadline);
        }
    }
    return earliest;
}

} // namespace daisystile
