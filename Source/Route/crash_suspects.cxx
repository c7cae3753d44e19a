#include "crash_suspects.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr std::size_t maxSuspects = 4096;
// A query of many shards would otherwise make a long record.
constexpr std::size_t maxServices = 16;
constexpr std::size_t maxShared = 16;
constexpr std::size_t maxSharedFirst = 4;
// A record that is being shared may be cleared before this daemon learns that it has been shared.
constexpr seconds clearedDuration {10};

std::uint64_t countedInARow(const suspect_record &record)
{
    return record.crashes - std::min(record.crashes, record.cleared);
}

bool higherCountFirst(const std::pair<backend_server_id, std::uint64_t> &left, const std::pair<backend_server_id, std::uint64_t> &right)
{
    return std::pair(left.second, left.first) > std::pair(right.second, right.first);
}

// Which names are kept doesn't depend on the order in which they were joined.
void keepHighestCounts(std::map<backend_server_id, std::uint64_t> &servers)
{
    if (servers.size() <= maxNamedServers) {
        return;
    }
    std::vector<std::pair<backend_server_id, std::uint64_t>> ordered(servers.begin(), servers.end());
    std::sort(ordered.begin(), ordered.end(), higherCountFirst);
    servers = {ordered.begin(), ordered.begin() + maxNamedServers};
}

} // namespace

std::uint64_t strikes(const suspect_record &record)
{
    const auto named = std::count_if(record.servers.begin(), record.servers.end(), [&](const auto &server) { return server.second > record.cleared; });
    return std::max(countedInARow(record), static_cast<std::uint64_t>(named));
}

bool crash_suspects::concerns(const suspect_record &record, const service_name &service)
{
    return strikes(record) > 0 && (record.services.empty() || record.services.contains(service));
}

monotonic_time crash_suspects::quarantineEnds(const suspect &entry)
{
    if (strikes(entry.record) < crashesUntilQuarantine) {
        return monotonic_time::min();
    }
    auto duration = firstQuarantine;
    for (auto count = countedInARow(entry.record); count > crashesUntilQuarantine && duration < longestQuarantine; --count) {
        duration *= 2;
    }
    return entry.crashedAt + std::min(duration, longestQuarantine);
}

const crash_suspects::suspect *crash_suspects::find(const request_digest &request, const service_name &service) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() || !concerns(found->second.record, service) ? nullptr : &found->second;
}

run_permission crash_suspects::permission(const request_digest &request, const service_name &service, monotonic_time now) const
{
    const auto *entry = find(request, service);
    if (entry == nullptr) {
        return run_permission::run;
    }
    if (now < quarantineEnds(*entry)) {
        return run_permission::quarantined;
    }
    return entry->trial != 0 && now - entry->trialStarted < maxTrial ? run_permission::wait : run_permission::trial;
}

std::optional<milliseconds> crash_suspects::quarantineLeft(const request_digest &request, const service_name &service, monotonic_time now) const
{
    const auto *entry = find(request, service);
    const bool quarantined = entry != nullptr && now < quarantineEnds(*entry);
    return quarantined ? std::optional(timeLeft(now, quarantineEnds(*entry))) : std::nullopt;
}

bool crash_suspects::suspected(const request_digest &request, const service_name &service) const
{
    return find(request, service) != nullptr;
}

std::optional<suspect_record> crash_suspects::find(const request_digest &request) const
{
    const auto found = m_suspects.find(request);
    return found == m_suspects.end() ? std::nullopt : std::optional(found->second.record);
}

bool crash_suspects::empty() const
{
    return m_suspects.empty();
}

void crash_suspects::trialStarted(const request_digest &request, attempt_id attempt, monotonic_time now)
{
    if (const auto found = m_suspects.find(request); found != m_suspects.end()) {
        found->second.trial = attempt;
        found->second.trialStarted = now;
    }
}

bool crash_suspects::trialEnded(const request_digest &request, attempt_id attempt)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || found->second.trial != attempt) {
        return false;
    }
    found->second.trial = 0;
    return true;
}

// Servers that ended under attempts that were already running say no more than the first of them: a wave of lost servers hits
// several attempts of an innocent request, and a query runs on all shards at once.
suspect_record
crash_suspects::crashed(const request_digest &request, const service_name &service, monotonic_time sent, monotonic_time now, const backend_server_id &server)
{
    auto &entry = makeRoom(request, now);
    auto &record = entry.record;
    entry.own = true;
    const bool isFirst = strikes(record) == 0;
    if (isFirst || sent >= entry.crashedAt) {
        record.crashes = std::max(record.crashes, record.cleared) + 1;
        entry.crashedAt = now;
        if (!server.value.empty()) {
            record.servers[server] = record.crashes;
            keepHighestCounts(record.servers);
        }
    }
    if (isFirst) {
        record.services = {service};
    } else if (!record.services.empty()) {
        record.services.insert(service);
    }
    if (record.services.size() > maxServices) {
        record.services.clear();
    }
    return record;
}

bool crash_suspects::survived(const request_digest &request, const service_name &service)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end() || !concerns(found->second.record, service)) {
        return false;
    }
    found->second.record.cleared = found->second.record.crashes;
    found->second.own = true;
    return true;
}

bool crash_suspects::learn(const suspect_record &told, record_origin origin, monotonic_time now)
{
    auto &entry = makeRoom(told.request, now);
    entry.shared = true;
    entry.own = entry.own || origin == record_origin::this_daemon;
    auto &record = entry.record;
    const auto before = record;
    const auto strikesBefore = strikes(record);
    const bool unknown = strikesBefore == 0;
    record.crashes = std::max(record.crashes, told.crashes);
    record.cleared = std::max(record.cleared, told.cleared);
    for (const auto &[server, count] : told.servers) {
        auto &known = record.servers[server];
        known = std::max(known, count);
    }
    keepHighestCounts(record.servers);
    if (record.crashes > before.crashes || strikes(record) > strikesBefore) {
        entry.crashedAt = now;
    }
    if (strikes(record) > 0 && told.crashes > told.cleared) {
        const bool all = told.services.empty() || (!unknown && record.services.empty());
        if (unknown || all) {
            record.services = all ? std::set<service_name> {} : told.services;
        } else {
            record.services.insert(told.services.begin(), told.services.end());
        }
    }
    return record != before;
}

std::optional<suspect_record> crash_suspects::lift(const request_digest &request)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end()) {
        return std::nullopt;
    }
    found->second.record.cleared = found->second.record.crashes;
    found->second.own = true;
    found->second.shared = true;
    return found->second.record;
}

crash_suspects::suspect &crash_suspects::makeRoom(const request_digest &request, monotonic_time now)
{
    const auto found = m_suspects.find(request);
    if (found != m_suspects.end()) {
        return found->second;
    }
    if (m_suspects.size() >= maxSuspects) {
        expire(now);
    }
    if (m_suspects.size() >= maxSuspects) {
        // The least suspect, and of those the one that was seen longest ago.
        const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
            return std::pair(strikes(left.second.record), left.second.crashedAt) < std::pair(strikes(right.second.record), right.second.crashedAt);
        });
        m_suspects.erase(least);
    }
    auto &entry = m_suspects[request];
    entry.record.request = request;
    entry.crashedAt = now;
    return entry;
}

void crash_suspects::expire(monotonic_time now)
{
    std::erase_if(m_suspects, [now](const auto &each) { return now >= forgetAt(each.second); });
}

monotonic_time crash_suspects::forgetAt(const suspect &entry)
{
    if (strikes(entry.record) == 0 && !entry.shared) {
        return entry.crashedAt + clearedDuration;
    }
    return std::max(quarantineEnds(entry), entry.crashedAt) + suspicionDuration;
}

std::vector<suspect_record> crash_suspects::toShare() const
{
    std::vector<const suspect *> repeated;
    std::vector<const suspect *> first;
    for (const auto &[request, entry] : m_suspects) {
        const auto count = strikes(entry.record);
        if (entry.own && (count > 0 || entry.shared)) {
            (count == 1 ? first : repeated).push_back(&entry);
        }
    }
    const auto keepLatest = [](std::vector<const suspect *> &entries, std::size_t most) {
        std::sort(entries.begin(), entries.end(), [](const auto *left, const auto *right) { return left->crashedAt > right->crashedAt; });
        entries.resize(std::min(entries.size(), most));
    };
    keepLatest(repeated, maxShared);
    keepLatest(first, maxSharedFirst);
    repeated.insert(repeated.end(), first.begin(), first.end());
    std::vector<suspect_record> records;
    records.reserve(repeated.size());
    for (const auto *entry : repeated) {
        records.push_back(entry->record);
    }
    std::sort(records.begin(), records.end(), [](const auto &left, const auto &right) { return left.request < right.request; });
    return records;
}

std::vector<std::pair<suspect_record, milliseconds>> crash_suspects::quarantined(monotonic_time now) const
{
    std::vector<std::pair<suspect_record, milliseconds>> all;
    for (const auto &[request, entry] : m_suspects) {
        if (now < quarantineEnds(entry)) {
            all.emplace_back(entry.record, timeLeft(now, quarantineEnds(entry)));
        }
    }
    return all;
}

} // namespace daisystile
