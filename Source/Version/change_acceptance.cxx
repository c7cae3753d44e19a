#include "change_acceptance.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds initialRetryDelay {20};
constexpr milliseconds maxRetryDelay {500};
constexpr std::uint32_t maxDelayDoublings = 5;

} // namespace

struct change_acceptance::event_visitor
{
    change_acceptance &self;
    monotonic_time now;

    change_action operator()(const change_started &) const
    {
        return self.readHead();
    }

    change_action operator()(const retry_due &) const
    {
        return self.readHead();
    }

    change_action operator()(const read_result &result) const
    {
        switch (self.m_step) {
        case change_step::read_own_record:
            return self.onOwnRecord(result, now);
        case change_step::read_chain_record:
            return self.onChainRecord(result, now);
        case change_step::read_current:
            return self.onCurrentRecord(result, now);
        default:
            return self.onHead(result, now);
        }
    }

    change_action operator()(const write_result &result) const
    {
        return self.m_step == change_step::write_record ? self.onRecordWritten(result, now) : self.onHeadWritten(result, now);
    }
};

change_acceptance::change_acceptance(change_request request, monotonic_time deadline)
    : m_request(std::move(request)),
      m_deadline(deadline),
      m_mayBeAccepted(m_request.resent)
{
}

change_action change_acceptance::decide(const change_event &event, monotonic_time now)
{
    return std::visit(event_visitor {*this, now}, event);
}

std::optional<head_entry> change_acceptance::currentEntry() const
{
    const auto found = m_head.entries.find(m_request.object);
    return found == m_head.entries.end() ? std::nullopt : std::optional(found->second);
}

change_action change_acceptance::readHead()
{
    m_step = change_step::read_head;
    return read_object {headKey};
}

change_action change_acceptance::onHead(const read_result &result, monotonic_time now)
{
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    m_head = {};
    m_headEtag.clear();
    if (const auto *object = std::get_if<platform_object>(&result)) {
        auto head = parseHead(object->value);
        if (std::holds_alternative<config_errors>(head)) {
            return giveUp("the configuration head in the platform is malformed");
        }
        m_head = std::get<config_head>(std::move(head));
        m_headEtag = object->etag;
    }
    m_step = change_step::read_own_record;
    return read_object {recordKey(m_request.object, m_request.change)};
}

change_action change_acceptance::onOwnRecord(const read_result &result, monotonic_time now)
{
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    m_ownRecord.reset();
    if (const auto *object = std::get_if<platform_object>(&result)) {
        auto record = parseRecord(object->value);
        if (std::holds_alternative<config_errors>(record)) {
            return giveUp("the record stored under this change id is malformed");
        }
        m_ownRecord = std::get<config_record>(std::move(record));
        m_ownEtag = object->etag;
    }
    const auto current = currentEntry();
    // A head write succeeds only while the record's predecessor is the newest. Once it is not, the chain of predecessors
    // shows whether the record was accepted.
    const bool mayBeInChain = m_ownRecord && current && m_ownRecord->version <= current->version;
    m_mayBeAccepted = mayBeInChain || (m_ownRecord && m_ownRecord->previous == (current ? current->change : change_id {}));
    if (mayBeInChain) {
        if (m_ownRecord->change == current->change) {
            return accepted(true);
        }
        return readChainRecord(current->change);
    }
    return checkVersionAndWrite();
}

// The own record was accepted if and only if the chain of predecessors that starts at the head contains it.
change_action change_acceptance::readChainRecord(const change_id &change)
{
    m_step = change_step::read_chain_record;
    return read_object {recordKey(m_request.object, change)};
}

change_action change_acceptance::onChainRecord(const read_result &result, monotonic_time now)
{
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    const auto *object = std::get_if<platform_object>(&result);
    const auto record = object == nullptr ? parsed<config_record>(config_errors {}) : parseRecord(object->value);
    const auto *chainRecord = std::get_if<config_record>(&record);
    if (chainRecord == nullptr) {
        return giveUp("the change id is older than the retained history");
    }
    if (chainRecord->previous == m_request.change) {
        return accepted(true);
    }
    if (chainRecord->version.value > m_ownRecord->version.value + 1) {
        return readChainRecord(chainRecord->previous);
    }
    m_mayBeAccepted = false;
    return checkVersionAndWrite();
}

change_action change_acceptance::checkVersionAndWrite()
{
    const auto current = currentEntry();
    const config_version version = current ? current->version : config_version {};
    if (version != m_request.expected) {
        return current && !m_mayBeAccepted ? readCurrent() : giveUp("version " + std::to_string(m_request.expected.value) + " is not the newest");
    }
    m_newRecord = {
        m_request.object, {version.value + 1}, m_request.change, current ? current->change : change_id {}, m_request.changedBy, m_request.at, m_request.text};
    if (!m_ownRecord) {
        return writeRecord(if_absent {});
    }
    const bool same = (m_request.derived || m_ownRecord->text == m_newRecord.text) && m_ownRecord->previous == m_newRecord.previous
        && m_ownRecord->version == m_newRecord.version;
    if (same) {
        m_newRecord = *m_ownRecord;
        return writeHead();
    }
    // The stored record was never accepted and cannot be any more, since its predecessor is not the newest; it is replaced.
    if (m_ownRecord->previous != m_newRecord.previous) {
        return writeRecord(if_version {m_ownEtag});
    }
    return giveUp("the change id was already used for a different text");
}

change_action change_acceptance::readCurrent()
{
    m_step = change_step::read_current;
    return read_object {recordKey(m_request.object, currentEntry()->change)};
}

change_action change_acceptance::onCurrentRecord(const read_result &result, monotonic_time now)
{
    const auto *object = std::get_if<platform_object>(&result);
    if (object == nullptr) {
        return retry(now, "the newest record cannot be read");
    }
    auto record = parseRecord(object->value);
    if (std::holds_alternative<config_errors>(record)) {
        return giveUp("the newest record is malformed");
    }
    return change_outcome {change_conflict {std::get<config_record>(std::move(record)), m_request.text}};
}

change_action change_acceptance::writeRecord(const write_condition &condition)
{
    auto json = toJson(m_newRecord);
    if (json.size() > maxPlatformValueBytes) {
        return giveUp("the text exceeds the size limit of platform values");
    }
    m_step = change_step::write_record;
    return write_object {recordKey(m_request.object, m_request.change), std::move(json), condition};
}

change_action change_acceptance::onRecordWritten(const write_result &result, monotonic_time now)
{
    if (std::holds_alternative<object_written>(result)) {
        return writeHead();
    }
    // An earlier attempt of the same change may have written the record; the retry reads it back.
    return retry(now, "the record could not be written");
}

change_action change_acceptance::writeHead()
{
    m_nextHead = m_head;
    m_nextHead.number += 1;
    m_nextHead.entries[m_request.object] = {m_newRecord.version, m_newRecord.change, m_nextHead.number};
    auto json = toJson(m_nextHead);
    if (json.size() > maxPlatformValueBytes) {
        return giveUp("the configuration head would exceed the size limit of platform values");
    }
    m_step = change_step::write_head;
    if (m_headEtag.empty()) {
        return write_object {headKey, std::move(json), if_absent {}};
    }
    return write_object {headKey, std::move(json), if_version {m_headEtag}};
}

change_action change_acceptance::onHeadWritten(const write_result &result, monotonic_time now)
{
    if (std::holds_alternative<object_written>(result)) {
        m_head = m_nextHead;
        return accepted(false);
    }
    if (const auto *unknown = std::get_if<write_unknown>(&result)) {
        m_mayBeAccepted = true;
        return retry(now, unknown->message);
    }
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    return retry(now, "concurrent changes were accepted first on every attempt");
}

change_action change_acceptance::accepted(bool resent)
{
    m_mayBeAccepted = false;
    if (resent && !m_request.derived && m_ownRecord->text != m_request.text) {
        return giveUp("the change id was already used for a different text");
    }
    return change_outcome {change_accepted {resent ? *m_ownRecord : m_newRecord, m_head, resent}};
}

change_action change_acceptance::retry(monotonic_time now, const std::string &reason)
{
    const auto delay = std::min(maxRetryDelay, initialRetryDelay * (1U << std::min(m_attempts, maxDelayDoublings)));
    m_attempts += 1;
    if (now + delay >= m_deadline) {
        return giveUp(reason);
    }
    m_step = change_step::waiting;
    return wait_before_retry {delay};
}

change_action change_acceptance::giveUp(const std::string &reason) const
{
    if (m_mayBeAccepted) {
        return change_outcome {change_unknown {reason}};
    }
    return change_outcome {change_rejected {reason}};
}

} // namespace daisystile
