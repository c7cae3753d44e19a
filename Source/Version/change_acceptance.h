#pragma once

#include "config_record.h"
#include <platform/platform.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// One change that an operator asks for; its text has been checked.
struct change_request
{
    config_object object;
    change_id change;
    /// The version that the operator saw; 0 for an object that does not exist yet.
    config_version expected;
    std::string changedBy;
    std::int64_t at = 0;
    std::string text;
    /// The operator sent this change before and was not told its outcome.
    bool resent = false;
    /// The text was worked out from the newest one, so a resend may bring another.
    bool derived = false;
};

/// The platform holds the change; it will be in force everywhere and stay until a later one.
struct change_accepted
{
    config_record record;
    config_head head;
    /// The same change had been accepted before.
    bool resent = false;
};

/// Another change came first; nothing was changed.
struct change_conflict
{
    config_record current;
    std::string offered;
};

/// This attempt changed nothing.
struct change_rejected
{
    std::string why;
};

/// The change may have been accepted; sending it again with the same change id is safe and tells.
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

/// The one step to take next.
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
    read_chain,
    read_current,
    write_record,
    write_head,
    waiting,
};

/// Takes one change to the platform: a record, then the head that names it. One decision at a time.
class change_acceptance
{
public:
    change_acceptance(change_request request, monotonic_time deadline);

    /// What to do after an event; an outcome is the last.
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
    change_action proceed();
    change_action readChain(const change_id &change);
    change_action readCurrent();
    change_action writeRecord(const write_condition &condition);
    change_action writeHead();
    change_action retry(monotonic_time now, const std::string &why);
    change_action accepted(bool resent);
    change_action giveUp(const std::string &why) const;
    std::optional<head_entry> entry() const;

    change_request m_request;
    monotonic_time m_deadline;
    change_step m_step = change_step::idle;
    std::uint32_t m_attempt = 0;
    std::string m_headEtag;
    config_head m_head;
    std::optional<config_record> m_own;
    std::string m_ownEtag;
    config_record m_record;
    config_head m_nextHead;
    /// An earlier write of the head may have taken effect or still may.
    bool m_uncertain = false;
};

/// The platform's limit on a value.
inline constexpr std::size_t platformValueBytes = 1U << 20U;

} // namespace daisystile
