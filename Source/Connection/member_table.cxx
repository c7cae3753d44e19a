#include "member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace daisystile {

static constexpr unsigned transmissionsPerDoubling = 3;
static constexpr std::chrono::hours deadMemberRetention {1};

static auto precedenceOf(const member_update &update)
{
    return std::tuple(update.subject.incarnationNumber, update.refutation, update.subject.state);
}

bool supersedes(const member_update &update, const member_update &known)
{
    return precedenceOf(update) > precedenceOf(known);
}

// Suspicion is short-lived, and daemons remove dead members at different times, so the digest includes neither.
static std::uint64_t digestContribution(const member_update &update)
{
    if (update.subject.state == member_state::dead) {
        return 0;
    }
    const bool leaving = update.subject.state == member_state::leaving;
    const auto text =
        update.subject.id.value + '/' + std::to_string(update.subject.incarnationNumber.value) + '/' + std::to_string(update.refutation) + (leaving ? "l" : "");
    return stableHash(text);
}

member_table::member_table(member self)
    : m_self(self.id)
{
    store({std::move(self), 0}, {});
}

const daemon_id &member_table::selfId() const
{
    return m_self;
}

const member_update &member_table::self() const
{
    return m_entries.at(m_self).known;
}

const member_update *member_table::find(const daemon_id &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.known;
}

bool member_table::apply(const member_update &update, monotonic_time now)
{
    if (update.subject.id == m_self) {
        return false;
    }
    const auto *known = find(update.subject.id);
    if (known && !supersedes(update, *known)) {
        return false;
    }
    store(update, now);
    return true;
}

void member_table::setSelf(member_update update)
{
    store(update, m_entries.at(m_self).changed);
}

void member_table::store(const member_update &update, monotonic_time now)
{
    auto [found, isNew] = m_entries.try_emplace(update.subject.id);
    auto &record = found->second;
    if (!isNew) {
        m_digests[record.known.subject.domain] -= digestContribution(record.known);
    }
    record.known = update;
    record.changed = now;
    m_digests[update.subject.domain] += digestContribution(update);
    if (record.transmissionsLeft == 0) {
        m_pendingUpdates.push_back(update.subject.id);
    }
    record.transmissionsLeft = initialTransmissions();
}

unsigned member_table::initialTransmissions() const
{
    return transmissionsPerDoubling * static_cast<unsigned>(std::bit_width(m_entries.size()));
}

void member_table::expireDeadMembers(monotonic_time now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &record = item.second;
        return record.known.subject.state == member_state::dead && item.first != m_self && now - record.changed > deadMemberRetention;
    });
    std::erase_if(m_pendingUpdates, [&](const daemon_id &id) { return !m_entries.contains(id); });
}

std::vector<member_update> member_table::takeGossip(std::size_t count)
{
    const auto moreLeft = [this](const daemon_id &left, const daemon_id &right) {
        return m_entries.at(left).transmissionsLeft > m_entries.at(right).transmissionsLeft;
    };
    const auto taken = std::min(count, m_pendingUpdates.size());
    std::partial_sort(m_pendingUpdates.begin(), m_pendingUpdates.begin() + static_cast<std::ptrdiff_t>(taken), m_pendingUpdates.end(), moreLeft);
    std::vector<member_update> updates;
    for (std::size_t i = 0; i < taken; ++i) {
        auto &record = m_entries.at(m_pendingUpdates[i]);
        --record.transmissionsLeft;
        updates.push_back(record.known);
    }
    std::erase_if(m_pendingUpdates, [this](const daemon_id &id) { return m_entries.at(id).transmissionsLeft == 0; });
    return updates;
}

std::vector<member_update> member_table::updatesOfDomain(const failure_domain_name &domain) const
{
    std::vector<member_update> updates;
    for (const auto &[id, record] : m_entries) {
        if (domain.value.empty() || record.known.subject.domain == domain) {
            updates.push_back(record.known);
        }
    }
    return updates;
}

domain_digest member_table::digestOf(const failure_domain_name &domain) const
{
    const auto found = m_digests.find(domain);
    return {domain, found == m_digests.end() ? 0 : found->second};
}

std::vector<failure_domain_name> member_table::domains() const
{
    std::vector<failure_domain_name> names;
    names.reserve(m_digests.size());
    for (const auto &[name, digest] : m_digests) {
        names.push_back(name);
    }
    return names;
}

std::vector<member> member_table::liveMembers() const
{
    std::vector<member> members;
    for (const auto &[id, record] : m_entries) {
        if (record.known.subject.state != member_state::dead) {
            members.push_back(record.known.subject);
        }
    }
    return members;
}

std::size_t member_table::size() const
{
    return m_entries.size();
}

} // namespace daisystile
