#include "claim_journal.h"

#include <algorithm>

// Platform access of claim_journal: loads, takes over, writes and reads back segments.

namespace daisystile {

struct claim_journal::event_applier
{
    claim_journal &self;

    void operator()(const claim_made &event) const
    {
        self.m_retainedClaims[event.key] = {event.request, false, run_outcome::unknown, {}, event.expiresAt};
        expire(event.key, event.expiresAt);
    }

    void operator()(const claim_ended &event) const
    {
        auto &retained = self.m_retainedClaims[event.key];
        retained.ended = true;
        retained.outcome = event.outcome;
        retained.body = event.body;
        retained.expiresAt = event.expiresAt;
        expire(event.key, event.expiresAt);
    }

    void operator()(const claim_released &event) const
    {
        self.m_retainedClaims.erase(event.key);
    }

    void expire(const claim_key &key, std::int64_t expiresAt) const
    {
        self.m_claimExpiries.emplace(expiresAt, key);
        self.m_currentSegmentExpiry = std::max(self.m_currentSegmentExpiry, expiresAt);
    }
};

static std::int64_t expiryOf(const claim_event &event)
{
    const auto *made = std::get_if<claim_made>(&event);
    const auto *ended = std::get_if<claim_ended>(&event);
    return made != nullptr ? made->expiresAt : (ended != nullptr ? ended->expiresAt : 0);
}

void claim_journal::reset()
{
    m_platformDown = false;
    m_writeOutcomeUnknown = false;
    m_takeoverWritten = false;
    m_lastPlatformContact.reset();
    m_retryAt = m_time.now;
    m_pending.clear();
    m_attempts.clear();
    m_retainedClaims.clear();
    m_claimExpiries.clear();
    m_segmentExpiries.clear();
    m_currentSegmentExpiry = 0;
    m_lostEvents = 0;
    std::erase_if(m_openClaims, [](const auto &entry) { return !entry.second.running; });
}

void claim_journal::fence()
{
    if (!m_takeoverWritten && !m_releasing) {
        // The previous owner wrote between the list call and the takeover write: load again at once.
        reset();
        m_phase = phase::loading;
        return;
    }
    m_lastPlatformContact.reset();
    for (const auto &submission : std::exchange(m_queue, {})) {
        answer(submission.waiter, run_outcome::unknown, attempt_failure::not_owner);
    }
    for (auto &[key, claim] : m_openClaims) {
        if (!claim.running) {
            answerAll(std::exchange(claim.waiters, {}), run_outcome::unknown, attempt_failure::not_owner);
        }
    }
    reset();
    m_phase = m_releasing && !m_regainedWhileReleasing ? phase::idle : phase::fenced;
    m_releasing = false;
    m_regainedWhileReleasing = false;
    m_retryAt = m_time.now + m_limits.fencedBackoff;
}

bool claim_journal::restoredSince(const std::string &etag) const
{
    return parseRevision(etag).era > m_era;
}

void claim_journal::loadRestored()
{
    for (auto &[key, claim] : m_openClaims) {
        if (!claim.running) {
            answerAll(std::exchange(claim.waiters, {}), run_outcome::unknown, attempt_failure::platform_down);
        }
    }
    if (m_takeoverWritten && m_lastPlatformContact) {
        m_rememberedAllUntil = *m_lastPlatformContact + m_limits.lease;
    }
    m_rememberedClaims.merge(m_retainedClaims);
    reset();
    m_phase = phase::loading;
}

void claim_journal::restoreClaims()
{
    const bool allRemembered = m_rememberedAllUntil && m_time.now < *m_rememberedAllUntil;
    if (m_writtenInEarlierEra && !allRemembered) {
        m_lostBefore = m_time.wallSeconds;
    }
    // That the journal was released may be older than the previous owner, which may not know yet that the store has come back.
    m_waitForPreviousLease = m_waitForPreviousLease || m_writtenInEarlierEra;
    m_rememberedAllUntil.reset();
    for (auto &[key, claim] : std::exchange(m_rememberedClaims, {})) {
        const auto stored = m_retainedClaims.find(key);
        if (stored != m_retainedClaims.end() && (stored->second.ended || !claim.ended)) {
            continue;
        }
        append(claim_made {key, claim.request, claim.expiresAt});
        if (claim.ended) {
            append(claim_ended {key, claim.outcome, claim.body, claim.expiresAt});
        }
        m_claimExpiries.emplace(claim.expiresAt, key);
        m_retainedClaims[key] = claim;
    }
    m_lostEvents = m_pending.size();
}

void claim_journal::platformFailed()
{
    m_platformDown = true;
    m_retryAt = m_time.now + m_limits.retryDelay;
    rejectUnstartedClaims();
}

// The reply proves ownership only as of the start of the call, so the lease counts from there.
void claim_journal::renewLease()
{
    m_lastPlatformContact = m_callStartedAt;
    m_platformDown = false;
    m_retryAt = m_time.now;
}

void claim_journal::handleSegmentList(const segments_listed &result)
{
    m_callInFlight = platform_call::none;
    if (m_phase != phase::loading) {
        return;
    }
    const auto eraBefore = std::exchange(m_era, result.era);
    if (!result.segments || !load(*result.segments)) {
        m_era = eraBefore;
        platformFailed();
        return;
    }
    restoreClaims();
    m_platformDown = false;
    m_phase = phase::owning;
}

bool claim_journal::load(const std::vector<platform_object> &segments)
{
    reset();
    m_segmentNumber = 1;
    m_etag.clear();
    m_segmentLines.clear();
    m_waitForPreviousLease = false;
    m_writtenInEarlierEra = false;
    m_lostBefore = 0;
    std::map<std::uint64_t, const platform_object *> ordered;
    for (const auto &object : segments) {
        const auto number = segmentNumber(m_partition, object.key);
        if (!number) {
            return false;
        }
        ordered[*number] = &object;
    }
    for (const auto &[number, object] : ordered) {
        const auto segment = parseSegment(object->value);
        if (!segment) {
            return false;
        }
        loadSegment(number, *object, *segment);
    }
    return true;
}

void claim_journal::loadSegment(std::uint64_t number, const platform_object &object, const journal_segment &segment)
{
    m_segmentNumber = number;
    m_etag = object.etag;
    m_segmentLines = object.value.substr(object.value.find('\n') + 1);
    m_waitForPreviousLease = !segment.header.released;
    m_writtenInEarlierEra = segment.header.era && *segment.header.era < m_era;
    m_lostBefore = std::max(m_lostBefore, segment.header.lostBefore);
    for (const auto &event : segment.events) {
        std::visit(event_applier {*this}, event);
    }
    if (segment.header.sealed) {
        startNextSegment();
    }
}

void claim_journal::startNextSegment()
{
    m_segmentExpiries[m_segmentNumber] = m_currentSegmentExpiry;
    m_currentSegmentExpiry = 0;
    m_segmentNumber += 1;
    m_etag.clear();
    m_segmentLines.clear();
}

void claim_journal::handleWriteResult(const write_result &result)
{
    m_callInFlight = platform_call::none;
    if (m_phase != phase::owning || m_attempts.empty()) {
        return;
    }
    if (const auto *done = std::get_if<object_written>(&result)) {
        if (restoredSince(done->etag)) {
            // The condition named a revision that was given out again.
            loadRestored();
            return;
        }
        renewLease();
        applyCommittedWrite(write_attempt(m_attempts.back()), done->etag);
    } else if (std::holds_alternative<platform_unavailable>(result)) {
        m_attempts.pop_back();
        platformFailed();
    } else if (std::holds_alternative<write_conflict>(result)) {
        // The conflicting write may be an earlier write of this owner whose reply was lost.
        startRead();
    } else if (m_writeOutcomeUnknown) {
        platformFailed();
    } else {
        // A single lost reply is not treated as an outage: a retry with the same condition shows whether the first write
        // took effect.
        m_writeOutcomeUnknown = true;
        m_retryAt = m_time.now;
    }
}

void claim_journal::applyCommittedWrite(const write_attempt &attempt, const std::string &etag)
{
    m_etag = etag;
    m_attempts.clear();
    m_writeOutcomeUnknown = false;
    std::vector<claim_key> claims;
    for (std::size_t i = 0; i < attempt.events; ++i) {
        auto &pending = m_pending.front();
        m_segmentLines += pending.line;
        // A result was already retained when it was reported; its key may have been released and claimed again since
        // then.
        if (i < m_lostEvents) {
            // Known already, and never to be run again.
            m_currentSegmentExpiry = std::max(m_currentSegmentExpiry, expiryOf(pending.event));
        } else if (const auto *made = std::get_if<claim_made>(&pending.event)) {
            event_applier {*this}(*made);
            claims.push_back(made->key);
        } else if (const auto *ended = std::get_if<claim_ended>(&pending.event)) {
            m_currentSegmentExpiry = std::max(m_currentSegmentExpiry, ended->expiresAt);
        }
        m_pending.pop_front();
    }
    m_lostEvents -= std::min(m_lostEvents, attempt.events);
    if (attempt.released) {
        reset();
        m_releasing = false;
        m_phase = std::exchange(m_regainedWhileReleasing, false) ? phase::loading : phase::idle;
        return;
    }
    if (!m_takeoverWritten) {
        m_takeoverWritten = true;
        m_claimsAllowedFrom = m_time.now + (m_waitForPreviousLease ? m_limits.takeoverWait : milliseconds {0});
        // Requests queued before the journal was loaded may match retained claims.
        retryQueuedRequests();
    }
    if (attempt.sealed) {
        startNextSegment();
    }
    for (const auto &key : claims) {
        startCommittedClaim(key);
    }
}

void claim_journal::startCommittedClaim(const claim_key &key)
{
    const auto found = m_openClaims.find(key);
    if (found == m_openClaims.end()) {
        return;
    }
    auto &claim = found->second;
    monotonic_time deadline {};
    for (const auto &waiting : claim.waiters) {
        deadline = std::max(deadline, waiting.deadline);
    }
    if (deadline <= m_time.now) {
        // The callers were answered not_run, or are answered here; the request must not run any more.
        answerAll(claim.waiters, unclaimedOutcome(), attempt_failure::too_late);
        m_openClaims.erase(found);
        m_retainedClaims.erase(key);
        append(claim_released {key});
        return;
    }
    claim.running = true;
    m_actions.emplace_back(start_run {key, deadline});
}

void claim_journal::handleReadResult(const read_result &result)
{
    m_callInFlight = platform_call::none;
    if (m_phase != phase::owning) {
        return;
    }
    if (std::holds_alternative<platform_unavailable>(result)) {
        platformFailed();
        return;
    }
    const auto *object = std::get_if<platform_object>(&result);
    // Nobody removes the last segment of a journal.
    const bool lost = object == nullptr && !m_etag.empty();
    if (lost || (object != nullptr && restoredSince(object->etag))) {
        loadRestored();
        return;
    }
    const bool unchanged = object == nullptr ? m_etag.empty() : object->etag == m_etag;
    if (unchanged) {
        renewLease();
    } else {
        reconcileStoredSegment(*object);
    }
}

void claim_journal::reconcileStoredSegment(const platform_object &object)
{
    const auto segment = parseSegment(object.value);
    const auto isOurs = [&](const write_attempt &attempt) {
        return segment && segment->header.writer == segment_writer {m_self.owner, m_self.incarnationNumber, attempt.batch};
    };
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), isOurs);
    if (found == m_attempts.end()) {
        fence();
        return;
    }
    const write_attempt attempt = *found;
    if (attempt.sealed) {
        // Another owner may already have started the next segment, so this read doesn't renew the lease.
        m_platformDown = false;
        m_retryAt = m_time.now;
    } else {
        renewLease();
    }
    applyCommittedWrite(attempt, object.etag);
}

bool claim_journal::releaseDue() const
{
    return m_releasing && m_takeoverWritten && m_pending.empty() && m_openClaims.empty();
}

std::optional<monotonic_time> claim_journal::writeAt() const
{
    if (!m_takeoverWritten || !m_attempts.empty() || releaseDue()) {
        return m_retryAt;
    }
    if (m_pending.empty()) {
        return std::nullopt;
    }
    const auto isClaim = [](const pending_event &pending) {
        return std::holds_alternative<claim_made>(pending.event);
    };
    const bool claimWaits = std::any_of(m_pending.begin(), m_pending.end(), isClaim);
    const auto due = claimWaits || m_releasing ? m_pending.front().since : m_pending.front().since + m_limits.resultDelay;
    return std::max({due, m_lastWrite + m_limits.writeInterval, m_retryAt});
}

std::optional<monotonic_time> claim_journal::platformCallAt() const
{
    if (m_callInFlight != platform_call::none) {
        return std::nullopt;
    }
    if (m_phase == phase::loading) {
        return m_retryAt;
    }
    if (m_phase != phase::owning) {
        return std::nullopt;
    }
    const auto renewal = m_platformDown || !m_lastPlatformContact ? m_retryAt : std::max(m_retryAt, *m_lastPlatformContact + m_limits.renewInterval);
    const auto write = writeAt();
    return write ? std::min(*write, renewal) : renewal;
}

void claim_journal::startPlatformCall()
{
    const auto due = platformCallAt();
    if (!due || m_time.now < *due) {
        return;
    }
    if (m_phase == phase::loading) {
        m_callInFlight = platform_call::list;
        m_callStartedAt = m_time.now;
        m_actions.emplace_back(list_segments {segmentPrefix(m_partition)});
        return;
    }
    const auto write = writeAt();
    if (write && *write <= m_time.now) {
        startWrite();
    } else {
        startRead();
    }
}

void claim_journal::startWrite()
{
    write_attempt attempt {.batch = ++m_self.batch};
    std::string lines;
    const auto least = possiblyWrittenEvents();
    for (const auto &pending : m_pending) {
        if (attempt.events >= least && lines.size() + pending.line.size() > m_limits.batchBytes && attempt.events > 0) {
            break;
        }
        lines += pending.line;
        attempt.events += 1;
    }
    attempt.released = releaseDue();
    attempt.sealed = !attempt.released && m_segmentLines.size() + lines.size() >= m_limits.segmentBytes;
    m_attempts.push_back(attempt);
    m_callInFlight = platform_call::write;
    m_callStartedAt = m_time.now;
    m_lastWrite = m_time.now;
    // Until all that was lost is written, a next owner doesn't find it.
    const auto lostBefore = attempt.events < m_lostEvents ? m_time.wallSeconds : m_lostBefore;
    const segment_header header {m_self, attempt.sealed, attempt.released, m_era, lostBefore};
    const auto condition = m_etag.empty() ? write_condition(if_absent {}) : write_condition(if_version {m_etag});
    m_actions.emplace_back(write_segment {segmentKey(m_partition, m_segmentNumber), encodeSegmentHeader(header) + m_segmentLines + lines, condition});
}

void claim_journal::startRead()
{
    m_callInFlight = platform_call::read;
    m_callStartedAt = m_time.now;
    m_actions.emplace_back(read_segment {segmentKey(m_partition, m_segmentNumber)});
}

void claim_journal::expireRetainedClaims()
{
    const auto expired = m_time.wallSeconds - m_limits.clockSkewSeconds;
    while (!m_claimExpiries.empty() && m_claimExpiries.begin()->first < expired) {
        const auto [expiresAt, key] = *m_claimExpiries.begin();
        m_claimExpiries.erase(m_claimExpiries.begin());
        const auto retained = m_retainedClaims.find(key);
        if (retained != m_retainedClaims.end() && retained->second.expiresAt <= expiresAt && !m_openClaims.contains(key)) {
            m_retainedClaims.erase(retained);
        }
    }
    // The last sealed segment is kept because it determines the next segment number.
    while (leaseValid() && m_segmentExpiries.size() > 1 && m_segmentExpiries.begin()->second < expired) {
        m_actions.emplace_back(remove_segment {segmentKey(m_partition, m_segmentExpiries.begin()->first)});
        m_segmentExpiries.erase(m_segmentExpiries.begin());
    }
}

} // namespace daisystile
