#include "change_acceptance.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds firstRetryDelay {20};
constexpr milliseconds longestRetryDelay {500};
constexpr std::uint32_t mostDoublings = 5;

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
        case change_step::read_chain:
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
      m_uncertain(m_request.resent)
{
}

change_action change_acceptance::decide(const change_event &event, monotonic_time now)
{
    return std::visit(event_visitor {*this, now}, event);
}

std::optional<head_entry> change_acceptance::entry() const
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
        if (std::holds_alternative<config_mistakes>(head)) {
            return giveUp("the platform holds a malformed config/head");
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
    m_own.reset();
    if (const auto *object = std::get_if<platform_object>(&result)) {
        auto record = parseRecord(object->value);
        if (std::holds_alternative<config_mistakes>(record)) {
            return giveUp("the platform holds a malformed record under this change id");
        }
        m_own = std::get<config_record>(std::move(record));
        m_ownEtag = object->etag;
    }
    const auto current = entry();
    // A head write was conditional on the predecessor being the newest: once it is not, the chain tells what came of it.
    const bool mayBeInChain = m_own && current && m_own->version <= current->version;
    m_uncertain = mayBeInChain || (m_own && m_own->previous == (current ? current->change : change_id {}));
    if (mayBeInChain) {
        if (m_own->change == current->change) {
            return accepted(true);
        }
        return readChain(current->change);
    }
    return proceed();
}

// The own record was accepted exactly when the chain back from the head passes through it.
change_action change_acceptance::readChain(const change_id &change)
{
    m_step = change_step::read_chain;
    return read_object {recordKey(m_request.object, change)};
}

change_action change_acceptance::onChainRecord(const read_result &result, monotonic_time now)
{
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    const auto *object = std::get_if<platform_object>(&result);
    const auto record = object == nullptr ? parsed<config_record>(config_mistakes {}) : parseRecord(object->value);
    const auto *link = std::get_if<config_record>(&record);
    if (link == nullptr) {
        return giveUp("the change id is older than the history that is kept");
    }
    if (link->previous == m_request.change) {
        return accepted(true);
    }
    if (link->version.value > m_own->version.value + 1) {
        return readChain(link->previous);
    }
    m_uncertain = false;
    return proceed();
}

change_action change_acceptance::proceed()
{
    const auto current = entry();
    const config_version version = current ? current->version : config_version {};
    if (version != m_request.expected) {
        return current && !m_uncertain ? readCurrent() : giveUp("version " + std::to_string(m_request.expected.value) + " is not the newest");
    }
    m_record = {
        m_request.object, {version.value + 1}, m_request.change, current ? current->change : change_id {}, m_request.changedBy, m_request.at, m_request.text};
    if (!m_own) {
        return writeRecord(if_absent {});
    }
    const bool same = (m_request.derived || m_own->text == m_record.text) && m_own->previous == m_record.previous && m_own->version == m_record.version;
    if (same) {
        m_record = *m_own;
        return writeHead();
    }
    // It was never accepted and can't be any more, since its predecessor is not the newest.
    if (m_own->previous != m_record.previous) {
        return writeRecord(if_version {m_ownEtag});
    }
    return giveUp("the change id was used for another text");
}

change_action change_acceptance::readCurrent()
{
    m_step = change_step::read_current;
    return read_object {recordKey(m_request.object, entry()->change)};
}

change_action change_acceptance::onCurrentRecord(const read_result &result, monotonic_time now)
{
    const auto *object = std::get_if<platform_object>(&result);
    if (object == nullptr) {
        return retry(now, "the newest record can't be read");
    }
    auto record = parseRecord(object->value);
    if (std::holds_alternative<config_mistakes>(record)) {
        return giveUp("the platform holds a malformed record");
    }
    return change_outcome {change_conflict {std::get<config_record>(std::move(record)), m_request.text}};
}

change_action change_acceptance::writeRecord(const write_condition &condition)
{
    auto json = toJson(m_record);
    if (json.size() > platformValueBytes) {
        return giveUp("the text is larger than a value of the platform");
    }
    m_step = change_step::write_record;
    return write_object {recordKey(m_request.object, m_request.change), std::move(json), condition};
}

change_action change_acceptance::onRecordWritten(const write_result &result, monotonic_time now)
{
    if (std::holds_alternative<object_written>(result)) {
        return writeHead();
    }
    // An earlier send of the same change may have written it; reading tells.
    return retry(now, "the record could not be written");
}

change_action change_acceptance::writeHead()
{
    m_nextHead = m_head;
    m_nextHead.number += 1;
    m_nextHead.entries[m_request.object] = {m_record.version, m_record.change, m_nextHead.number};
    auto json = toJson(m_nextHead);
    if (json.size() > platformValueBytes) {
        return giveUp("the head of the catalog would be larger than a value of the platform");
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
        m_uncertain = true;
        return retry(now, unknown->message);
    }
    if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
        return retry(now, unavailable->message);
    }
    return retry(now, "other changes kept coming first");
}

change_action change_acceptance::accepted(bool resent)
{
    m_uncertain = false;
    if (resent && !m_request.derived && m_own->text != m_request.text) {
        return giveUp("the change id was used for another text");
    }
    return change_outcome {change_accepted {resent ? *m_own : m_record, m_head, resent}};
}

change_action change_acceptance::retry(monotonic_time now, const std::string &why)
{
    const auto delay = std::min(longestRetryDelay, firstRetryDelay * (1U << std::min(m_attempt, mostDoublings)));
    m_attempt += 1;
    if (now + delay >= m_deadline) {
        return giveUp(why);
    }
    m_step = change_step::waiting;
    return wait_before_retry {delay};
}

change_action change_acceptance::giveUp(const std::string &why) const
{
    if (m_uncertain) {
        return change_outcome {change_unknown {why}};
    }
    return change_outcome {change_rejected {why}};
}

} // namespace daisystile
