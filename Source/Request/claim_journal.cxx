#include "claim_journal.h"

#include <algorithm>

namespace daisystile {

// Recorded in place of a result larger than journal_limits::resultBytes.
static constexpr const char *resultNotKept = R"({"result":"too large to be kept"})";

struct claim_journal::event_visitor
{
    claim_journal &self;

    void operator()(const ownership_gained &) const
    {
        self.handleOwnershipGained();
    }
    void operator()(const ownership_ended &) const
    {
        self.handleOwnershipEnded();
    }
    void operator()(const execute_requested &event) const
    {
        self.handleExecuteRequest(event);
    }
    void operator()(const run_reported &event) const
    {
        self.handleRunReport(event);
    }
    void operator()(const segments_listed &event) const
    {
        self.handleSegmentList(event);
    }
    void operator()(const segment_written &event) const
    {
        self.handleWriteResult(event.result);
    }
    void operator()(const segment_read &event) const
    {
        self.handleReadResult(event.result);
    }
    void operator()(const journal_timer_expired &) const
    {
    }
};

claim_journal::claim_journal(std::uint32_t partition, daemon_id owner, incarnation incarnationNumber, journal_limits limits)
    : m_partition(partition),
      m_self {std::move(owner), incarnationNumber, 0},
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
    return m_phase == phase::idle && m_openClaims.empty();
}

std::size_t claim_journal::retainedKeys() const
{
    return m_retainedClaims.size();
}

void claim_journal::handleOwnershipGained()
{
    if (std::any_of(m_attempts.begin(), m_attempts.end(), [](const write_attempt &attempt) { return attempt.released; })) {
        // Once the release may be stored, the next owner need not wait for this owner's lease.
        m_regainedWhileReleasing = true;
        return;
    }
    m_releasing = false;
    if (m_phase == phase::idle) {
        reset();
        m_phase = phase::loading;
    }
}

void claim_journal::handleOwnershipEnded()
{
    m_regainedWhileReleasing = false;
    // An owner that is not yet allowed to claim must not release: the previous owner's lease may still be valid.
    if (m_phase == phase::owning && m_takeoverWritten && m_time.now >= m_claimsAllowedFrom) {
        m_releasing = true;
        rejectUnstartedClaims();
        return;
    }
    rejectUnstartedClaims();
    m_rememberedClaims.clear();
    m_rememberedAllUntil.reset();
    reset();
    m_phase = phase::idle;
}

void claim_journal::handleExecuteRequest(const execute_requested &submission)
{
    if (joinOpenClaim(submission) || answerFromRetainedClaim(submission)) {
        return;
    }
    if (m_releasing || m_phase == phase::idle || m_phase == phase::fenced) {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::not_owner);
        return;
    }
    if (mayBeLost(submission)) {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::server_lost);
        return;
    }
    if (m_platformDown) {
        answer(submission.waiter, unclaimedOutcome(), attempt_failure::platform_down);
        return;
    }
    if (!claimsAllowed()) {
        m_queue.push_back(submission);
        return;
    }
    const auto expiresAt = m_time.wallSeconds + submission.retentionSeconds;
    m_openClaims[submission.key] = {submission.request, expiresAt, submission.retentionSeconds, false, {{submission.waiter, submission.deadline}}};
    append(claim_made {submission.key, submission.request, expiresAt});
}

// A result is kept for the retention time, and so are resends answered; a lost claim was made before the time that is known.
bool claim_journal::mayBeLost(const execute_requested &submission) const
{
    return m_phase == phase::owning && m_lostBefore > 0 && m_time.wallSeconds <= m_lostBefore + submission.retentionSeconds + m_limits.clockSkewSeconds;
}

bool claim_journal::joinOpenClaim(const execute_requested &submission)
{
    const auto open = m_openClaims.find(submission.key);
    if (open == m_openClaims.end()) {
        return false;
    }
    if (open->second.request != submission.request) {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::key_reused);
    } else if (!open->second.running && m_platformDown) {
        answer(submission.waiter, unclaimedOutcome(), attempt_failure::platform_down);
    } else {
        open->second.waiters.push_back({submission.waiter, submission.deadline});
    }
    return true;
}

bool claim_journal::answerFromRetainedClaim(const execute_requested &submission)
{
    const auto retained = m_retainedClaims.find(submission.key);
    if (retained == m_retainedClaims.end()) {
        return false;
    }
    const auto &claim = retained->second;
    if (claim.request != submission.request) {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::key_reused);
    } else if (claim.ended && claim.outcome == run_outcome::done) {
        answer(submission.waiter, run_outcome::done, attempt_failure::none, claim.body);
    } else {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::server_lost);
    }
    return true;
}

void claim_journal::handleRunReport(const run_reported &report)
{
    const auto found = m_openClaims.find(report.key);
    if (found == m_openClaims.end() || !found->second.running) {
        return;
    }
    const auto claim = std::move(found->second);
    m_openClaims.erase(found);
    answerAll(claim.waiters, report.outcome, report.failure, report.body);
    if (m_phase != phase::owning) {
        // This daemon no longer owns the journal. The journal holds the claim, so a resend is answered unknown and does not
        // run again.
        return;
    }
    if (report.outcome == run_outcome::not_run) {
        m_retainedClaims.erase(report.key);
        append(claim_released {report.key});
        return;
    }
    retainResult(report, claim);
}

void claim_journal::retainResult(const run_reported &report, const open_claim &claim)
{
    const auto expiresAt = m_time.wallSeconds + claim.retentionSeconds;
    auto body = report.body.size() > m_limits.resultBytes ? std::string(resultNotKept) : report.body;
    m_retainedClaims[report.key] = {claim.request, true, report.outcome, body, expiresAt};
    m_claimExpiries.emplace(expiresAt, report.key);
    append(claim_ended {report.key, report.outcome, std::move(body), expiresAt});
}

void claim_journal::append(claim_event event)
{
    auto line = encodeClaimEvent(event);
    m_pending.push_back({std::move(event), std::move(line), m_time.now});
}

std::size_t claim_journal::possiblyWrittenEvents() const
{
    std::size_t events = 0;
    for (const auto &attempt : m_attempts) {
        events = std::max(events, attempt.events);
    }
    return events;
}

void claim_journal::dropUnwrittenClaim(const claim_key &key)
{
    const auto first = m_pending.begin() + static_cast<std::ptrdiff_t>(std::max(possiblyWrittenEvents(), m_lostEvents));
    const auto isClaim = [&](const pending_event &pending) {
        const auto *made = std::get_if<claim_made>(&pending.event);
        return made != nullptr && made->key == key;
    };
    const auto found = std::find_if(first, m_pending.end(), isClaim);
    if (found != m_pending.end()) {
        m_pending.erase(found);
        m_openClaims.erase(key);
    }
}

void claim_journal::rejectUnstartedClaims()
{
    const auto failure = m_releasing ? attempt_failure::not_owner : attempt_failure::platform_down;
    for (const auto &submission : std::exchange(m_queue, {})) {
        answer(submission.waiter, unclaimedOutcome(), failure);
    }
    std::vector<claim_key> refused;
    for (auto &[key, claim] : m_openClaims) {
        if (!claim.running) {
            answerAll(std::exchange(claim.waiters, {}), unclaimedOutcome(), failure);
            refused.push_back(key);
        }
    }
    for (const auto &key : refused) {
        dropUnwrittenClaim(key);
    }
}

void claim_journal::retryQueuedRequests()
{
    for (const auto &submission : std::exchange(m_queue, {})) {
        handleExecuteRequest(submission);
    }
}

void claim_journal::expireWaiters()
{
    const auto late = [this](monotonic_time deadline) {
        return deadline <= m_time.now;
    };
    for (auto submission = m_queue.begin(); submission != m_queue.end();) {
        if (!late(submission->deadline)) {
            ++submission;
            continue;
        }
        answer(submission->waiter, unclaimedOutcome(), attempt_failure::too_late);
        submission = m_queue.erase(submission);
    }
    std::vector<claim_key> abandoned;
    for (auto &[key, claim] : m_openClaims) {
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
    return leaseValid() ? run_outcome::not_run : run_outcome::unknown;
}

bool claim_journal::leaseValid() const
{
    return m_phase == phase::owning && m_takeoverWritten && m_lastPlatformContact && m_time.now < *m_lastPlatformContact + m_limits.lease;
}

bool claim_journal::claimsAllowed() const
{
    return m_phase == phase::owning && !m_releasing && m_takeoverWritten && m_time.now >= m_claimsAllowedFrom;
}

void claim_journal::advance()
{
    if (claimsAllowed()) {
        retryQueuedRequests();
    }
    expireWaiters();
    expireRetainedClaims();
    if (m_phase == phase::fenced && m_time.now >= m_retryAt) {
        reset();
        m_phase = phase::loading;
    }
    startPlatformCall();
}

std::optional<monotonic_time> claim_journal::nextWakeup() const
{
    std::optional<monotonic_time> earliest = platformCallAt();
    const auto consider = [&](monotonic_time time) {
        earliest = earliest ? std::min(*earliest, time) : time;
    };
    if (m_phase == phase::fenced) {
        consider(m_retryAt);
    }
    if (!m_queue.empty() && m_takeoverWritten) {
        consider(std::max(m_claimsAllowedFrom, m_time.now));
    }
    for (const auto &submission : m_queue) {
        consider(submission.deadline);
    }
    for (const auto &[key, claim] : m_openClaims) {
        for (const auto &waiting : claim.waiters) {
            consider(waiting.deadline);
        }
    }
    return earliest;
}

} // namespace daisystile
