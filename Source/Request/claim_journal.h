#pragma once

#include "claim_record.h"

#include <deque>
#include <map>
#include <set>

namespace daisystile {

/// Number of journals in the fleet; the hash of a claim key selects the journal.
inline constexpr std::uint32_t journalPartitionCount = 4;

struct journal_limits
{
    /// Minimum time between the starts of two writes; events that arrive in between are batched into one write.
    milliseconds writeInterval {150};
    /// Maximum delay of a write that holds only results; longer, because no caller waits for it.
    milliseconds resultDelay {500};
    /// How long after its last confirmed contact with the platform an owner may answer that a key was not claimed.
    milliseconds lease {4000};
    /// How long a new owner waits before its first claim, so that the previous owner's lease has expired.
    milliseconds takeoverWait {5000};
    milliseconds renewInterval {1500};
    milliseconds retryDelay {300};
    /// How long a fenced owner leaves the journal to the new owner before it loads the journal again.
    milliseconds fencedBackoff {15000};
    /// Size at which a segment is sealed and a new one is started.
    std::size_t segmentBytes = 65536;
    std::size_t batchBytes = 262144;
    std::size_t resultBytes = 131072;
    /// Tolerated difference between the wall clocks of the daemons.
    std::int64_t clockSkewSeconds = 60;
};

struct journal_time
{
    monotonic_time now;
    /// Seconds since 1970. Retention outlives a daemon process, so it is measured in wall time.
    std::int64_t wallSeconds = 0;
};

/// Identifies a caller that waits for an answer; assigned by journal_manager.
using waiter_id = std::uint64_t;

struct ownership_gained
{
};
/// The journal is released after the runs in progress have ended, so that the next owner need not wait for the lease.
struct ownership_ended
{
};
struct execute_requested
{
    waiter_id waiter = 0;
    claim_key key;
    fingerprint request;
    std::int64_t retentionSeconds = 0;
    monotonic_time deadline;
};
struct run_reported
{
    claim_key key;
    run_outcome outcome = run_outcome::unknown;
    attempt_failure failure = attempt_failure::none;
    std::string body;
};
struct segments_listed
{
    /// Empty if the platform did not answer.
    std::optional<std::vector<platform_object>> segments;
    /// Era of the store that listed them.
    std::uint64_t era = 0;
};
struct segment_written
{
    write_result result;
};
struct segment_read
{
    read_result result;
};
struct journal_timer_expired
{
};
using journal_event =
    std::variant<ownership_gained, ownership_ended, execute_requested, run_reported, segments_listed, segment_written, segment_read, journal_timer_expired>;

struct list_segments
{
    std::string prefix;
};
struct write_segment
{
    std::string key;
    std::string value;
    write_condition condition;
};
struct read_segment
{
    std::string key;
};
struct remove_segment
{
    std::string key;
};
/// The claim is committed: run the request once and report the outcome.
struct start_run
{
    claim_key key;
    monotonic_time deadline;
};
struct answer_waiter
{
    waiter_id waiter = 0;
    run_outcome outcome = run_outcome::unknown;
    attempt_failure failure = attempt_failure::none;
    std::string body;
};
using journal_action = std::variant<list_segments, write_segment, read_segment, remove_segment, start_run, answer_waiter>;

/// State machine of one journal. Decides which keys may run, how callers are answered and when segments are written.
/// At most one of list_segments, write_segment and read_segment is in progress at a time.
class claim_journal
{
public:
    claim_journal(std::uint32_t partition, daemon_id owner, incarnation incarnationNumber, journal_limits limits = {});

    std::vector<journal_action> decide(const journal_event &event, const journal_time &time);
    /// When decide() needs the next journal_timer_expired event, if at all.
    std::optional<monotonic_time> nextWakeup() const;
    bool idle() const;
    std::size_t retainedKeys() const;

private:
    struct event_visitor;
    struct write_visitor;
    struct read_visitor;
    struct event_applier;

    enum class phase {
        idle,
        loading,
        owning,
        fenced,
    };
    enum class platform_call {
        none,
        list,
        write,
        read,
    };

    struct retained_claim
    {
        fingerprint request;
        /// False if the key was only claimed: the request may have run, and its outcome will not be reported.
        bool ended = false;
        run_outcome outcome = run_outcome::unknown;
        std::string body;
        std::int64_t expiresAt = 0;
    };
    struct waiting_caller
    {
        waiter_id waiter = 0;
        monotonic_time deadline;
    };
    /// A key that this owner has claimed or is claiming.
    struct open_claim
    {
        fingerprint request;
        std::int64_t expiresAt = 0;
        std::int64_t retentionSeconds = 0;
        bool running = false;
        std::vector<waiting_caller> waiters;
    };
    struct pending_event
    {
        claim_event event;
        std::string line;
        monotonic_time since;
    };
    struct write_attempt
    {
        std::uint64_t batch = 0;
        std::size_t events = 0;
        bool sealed = false;
        bool released = false;
    };

    void handleOwnershipGained();
    void handleOwnershipEnded();
    void handleExecuteRequest(const execute_requested &submission);
    bool joinOpenClaim(const execute_requested &submission);
    bool answerFromRetainedClaim(const execute_requested &submission);
    void handleRunReport(const run_reported &report);
    void retainResult(const run_reported &report, const open_claim &claim);
    void handleSegmentList(const segments_listed &result);
    void handleWriteResult(const write_result &result);
    void handleReadResult(const read_result &result);
    void reconcileStoredSegment(const platform_object &object);
    /// Whether the store has come back from a copy since the journal was loaded.
    bool restoredSince(const std::string &etag) const;
    /// Loads the journal again after the store has come back from a copy, and keeps what is known of it.
    void loadRestored();
    /// Writes what the store has lost again, and notes whether it may have lost more.
    void restoreClaims();
    /// The store may have lost a claim of the key.
    bool mayBeLost(const execute_requested &submission) const;

    bool load(const std::vector<platform_object> &segments);
    void loadSegment(std::uint64_t number, const platform_object &object, const journal_segment &segment);
    void applyCommittedWrite(const write_attempt &attempt, const std::string &etag);
    void startCommittedClaim(const claim_key &key);
    void startNextSegment();
    void reset();
    void fence();
    void platformFailed();
    void renewLease();
    bool leaseValid() const;
    bool claimsAllowed() const;

    void advance();
    void retryQueuedRequests();
    void expireWaiters();
    void expireRetainedClaims();
    void startPlatformCall();
    std::optional<monotonic_time> platformCallAt() const;
    std::optional<monotonic_time> writeAt() const;
    bool releaseDue() const;
    void startWrite();
    void startRead();
    std::size_t possiblyWrittenEvents() const;
    void append(claim_event event);
    /// Drops a claim that has no waiters, unless a write that may have taken effect contains it.
    void dropUnwrittenClaim(const claim_key &key);
    void rejectUnstartedClaims();

    void answer(waiter_id waiter, run_outcome outcome, attempt_failure failure, std::string body = {});
    void answerAll(const std::vector<waiting_caller> &waiters, run_outcome outcome, attempt_failure failure, const std::string &body = {});
    /// Outcome for a key without a claim: not_run while the lease is valid, unknown otherwise.
    run_outcome unclaimedOutcome() const;

    std::uint32_t m_partition;
    segment_writer m_self;
    journal_limits m_limits;

    phase m_phase = phase::idle;
    platform_call m_callInFlight = platform_call::none;
    bool m_releasing = false;
    /// Ownership was regained while the write that releases the journal is in progress.
    bool m_regainedWhileReleasing = false;
    bool m_platformDown = false;
    bool m_writeOutcomeUnknown = false;
    bool m_takeoverWritten = false;
    bool m_waitForPreviousLease = false;
    monotonic_time m_retryAt {};
    monotonic_time m_claimsAllowedFrom {};
    monotonic_time m_callStartedAt {};
    monotonic_time m_lastWrite {};
    std::optional<monotonic_time> m_lastPlatformContact;

    std::uint64_t m_segmentNumber = 1;
    std::string m_etag;
    std::string m_segmentLines;
    std::deque<pending_event> m_pending;
    /// Writes of the current segment with an unknown outcome, including the one in progress.
    std::vector<write_attempt> m_attempts;

    std::uint64_t m_era = 0;
    /// The last segment that was loaded says that it was written in an earlier era.
    bool m_writtenInEarlierEra = false;
    std::int64_t m_lostBefore = 0;
    /// What was known before the store came back, until the journal is loaded again.
    std::map<claim_key, retained_claim> m_rememberedClaims;
    /// Until when no other owner can have claimed in the era before; nothing if this daemon wasn't the owner.
    std::optional<monotonic_time> m_rememberedAllUntil;
    /// Number of the first pending events that the store has lost.
    std::size_t m_lostEvents = 0;

    std::map<claim_key, retained_claim> m_retainedClaims;
    std::map<claim_key, open_claim> m_openClaims;
    std::deque<execute_requested> m_queue;
    std::multimap<std::int64_t, claim_key> m_claimExpiries;
    /// Latest expiry in each segment before the current one.
    std::map<std::uint64_t, std::int64_t> m_segmentExpiries;
    std::int64_t m_currentSegmentExpiry = 0;

    journal_time m_time;
    std::vector<journal_action> m_actions;
};

} // namespace daisystile
