#pragma once

#include "config_record.h"
#include <platform/platform.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// A configuration change requested by an operator; its text has been validated.
struct change_request
{
    config_object object;
    change_id change;
    /// The version that the operator edited, checked as by compare-and-swap; 0 for an object that does not exist yet.
    config_version expected;
    std::string changedBy;
    std::int64_t at = 0;
    std::string text;
    /// The operator sent this change before and did not receive its outcome.
    bool resent = false;
    /// The daemon derived the text from the newest one, so the text of a resend may differ.
    bool derived = false;
};

/// The change is stored in the platform; every daemon will apply it, and it stays in force until a later change.
struct change_accepted
{
    config_record record;
    config_head head;
    /// The change had already been accepted by an earlier request with the same change id.
    bool resent = false;
};

/// The expected version is not the newest, since another change was accepted first; nothing was changed.
struct change_conflict
{
    config_record current;
    std::string offered;
};

/// The change was not accepted; nothing was changed.
struct change_rejected
{
    std::string why;
};

/// The change may have been accepted. Sending it again with the same change id is safe and returns its outcome.
struct change_unknown
{
    std::string why;
};

using change_outcome = std::variant<change_accepted, change_conflict, change_rejected, change_unknown>;

struct read_object
{
    std::string key;
};
struct write_object
{
    std::string key;
    std::string value;
    write_condition condition;
};
struct wait_before_retry
{
    milliseconds delay;
};

/// The next call for the caller to make, or the outcome.
using change_action = std::variant<read_object, write_object, wait_before_retry, change_outcome>;

struct change_started
{
};
struct retry_due
{
};
using change_event = std::variant<change_started, retry_due, read_result, write_result>;

enum class change_step : std::uint8_t {
    idle,
    read_head,
    read_own_record,
    read_chain_record,
    read_current,
    write_record,
    write_head,
    waiting,
};

/// State machine that stores one change in the platform: first its record, then the head that refers to it.
/// The caller executes each returned action and passes the result back as the next event.
class change_acceptance
{
public:
    change_acceptance(change_request request, monotonic_time deadline);

    /// Returns the next action after an event. No event may follow an outcome.
    change_action decide(const change_event &event, monotonic_time now);

private:
    struct event_visitor;

    change_action readHead();
    change_action onHead(const read_result &result, monotonic_time now);
    change_action onOwnRecord(const read_result &result, monotonic_time now);
    change_action onChainRecord(const read_result &result, monotonic_time now);
    change_action onCurrentRecord(const read_result &result, monotonic_time now);
    change_action onRecordWritten(const write_result &result, monotonic_time now);
    change_action onHeadWritten(const write_result &result, monotonic_time now);
    change_action checkVersionAndWrite();
    change_action readChainRecord(const change_id &change);
    change_action readCurrent();
    change_action writeRecord(const write_condition &condition);
    change_action writeHead();
    change_action retry(monotonic_time now, const std::string &reason);
    change_action accepted(bool resent);
    change_action giveUp(const std::string &reason) const;
    std::optional<head_entry> currentEntry() const;

    change_request m_request;
    monotonic_time m_deadline;
    change_step m_step = change_step::idle;
    std::uint32_t m_attempts = 0;
    std::string m_headEtag;
    config_head m_head;
    std::optional<config_record> m_ownRecord;
    std::string m_ownEtag;
    config_record m_newRecord;
    config_head m_nextHead;
    /// An earlier write of the head may have taken effect or may still do so, so the outcome of the change is unknown.
    bool m_mayBeAccepted = false;
};

/// Largest value that the platform stores.
inline constexpr std::size_t maxPlatformValueBytes = 1U << 20U;

} // namespace daisystile
