#pragma once

#include "claim_record.h"

#include <deque>
#include <map>
#include <set>

namespace daisystile {

/// Journals of the fleet; a key's hash says which one holds it.
inline constexpr std::uint32_t journalPartitionCount = 4;

struct journal_limits
{
    /// Least time between the starts of two writes; what comes meanwhile shares one.
    milliseconds writeInterval {150};
    /// Results alone may wait longer: no caller waits for them.
    milliseconds resultDelay {500};
    /// How long after its last contact with the platform an owner may state that a key was not claimed.
    milliseconds lease {4000};
    /// How long a new owner lets an earlier owner's lease run out before its first claim.
    milliseconds takeoverWait {5000};
    milliseconds renewInterval {1500};
    milliseconds retryDelay {300};
    /// A fenced owner leaves the journal to the other for so long.
    milliseconds fencedBackoff {15000};
    /// A segment that has grown so large is followed by a new one.
    std::size_t segmentBytes = 65536;
    std::size_t batchBytes = 262144;
    std::size_t resultBytes = 131072;
    /// Tolerated difference between the daemons' clocks.
    std::int64_t clockSkewSeconds = 60;
};

struct journal_time
{
    monotonic_time now;
    /// Seconds since 1970; retention outlives daemons and so counts wall time.
    std::int64_t wallSeconds = 0;
};

/// Names who waits for an answer; chosen by the shell.
using waiter_id = std::uint64_t;

struct ownership_gained
{
};
/// Ends after the runs under way; by then a new owner need not wait.
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
    /// Nothing when the platform did not answer.
    std::optional<std::vector<platform_object>> segments;
};
struct segment_written
{
    write_result result;
};
struct segment_read
{
    read_result result;
};
struct timer_expired
{
};
using journal_event =
    std::variant<ownership_gained, ownership_ended, execute_requested, run_reported, segments_listed, segment_written, segment_read, timer_expired>;

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
/// The claim is in force: run the request once and report.
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

/// Decides for one journal: which key may run, who learns what, and what is written when.
/// At most one of list_segments, write_segment and read_segment is under way at a time.
class claim_journal
{
public:
    claim_journal(std::uint32_t partition, daemon_id owner, incarnation life, journal_limits limits = {});

    std::vector<journal_action> decide(const journal_event &event, const journal_time &time);
    /// When decide() wants time_passed next, if ever.
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
        /// Only claimed: it may have run, and nobody will tell.
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
    /// Claimed, or about to be, by this owner.
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
    /// Forgets a claim that nobody waits for, unless a write that may have taken effect holds it.
    void dropUnwrittenClaim(const claim_key &key);
    void rejectUnstartedClaims();

    void answer(waiter_id waiter, run_outcome outcome, attempt_failure failure, std::string body = {});
    void answerAll(const std::vector<waiting_caller> &waiters, run_outcome outcome, attempt_failure failure, const std::string &body = {});
    /// not_run where that is proved, unknown otherwise.
    run_outcome unclaimedOutcome() const;

    std::uint32_t m_partition;
    segment_writer m_self;
    journal_limits m_limits;

    phase m_phase = phase::idle;
    platform_call m_callInFlight = platform_call::none;
    bool m_releasing = false;
    /// Owner again, while the write that gives the journal up is under way.
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
    /// Writes of the present segment whose fate is not known, the last one under way included.
    std::vector<write_attempt> m_attempts;

    std::map<claim_key, retained_claim> m_retainedClaims;
    std::map<claim_key, open_claim> m_openClaims;
    std::deque<execute_requested> m_queue;
    std::multimap<std::int64_t, claim_key> m_claimExpiries;
    /// Last expiry in each segment before the present one.
    std::map<std::uint64_t, std::int64_t> m_segmentExpiries;
    std::int64_t m_currentSegmentExpiry = 0;

    journal_time m_time;
    std::vector<journal_action> m_actions;
};

} // namespace daisystile
