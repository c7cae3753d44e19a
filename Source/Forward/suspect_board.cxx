#include "suspect_board.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

namespace {

constexpr const char *keyPrefix = "daisystile-suspects/";
constexpr milliseconds listingInterval {5000};
// Most requests are cleared within this time, by the next server that runs them.
constexpr milliseconds firstCrashDelay {250};
constexpr milliseconds minWriteInterval {250};
// Keeps the writes of the fleet at 400 a second at most, however many daemons see servers end at the same time.
constexpr std::chrono::microseconds writeIntervalPerDaemon {2500};
constexpr milliseconds writeRetryDelay {1000};
constexpr milliseconds abandonedCheck {60000};
// No record is in use longer.
constexpr seconds maxAge = longestQuarantine + suspicionDuration;

// Records of earlier releases name no servers.
std::map<backend_server_id, std::uint64_t> parseServers(const json &object)
{
    std::map<backend_server_id, std::uint64_t> servers;
    const auto found = object.find("servers");
    if (found == object.end() || !found->is_object()) {
        return servers;
    }
    for (const auto &[server, count] : found->items()) {
        if (count.is_number_unsigned() && servers.size() < maxNamedServers) {
            servers.emplace(backend_server_id {server}, count.get<std::uint64_t>());
        }
    }
    return servers;
}

std::optional<suspect_record> parseRecord(const json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto request = object.find("request");
    const auto crashes = object.find("crashes");
    const auto cleared = object.find("cleared");
    const auto services = object.find("services");
    const bool complete = request != object.end() && request->is_string() && crashes != object.end() && crashes->is_number_unsigned() && cleared != object.end()
        && cleared->is_number_unsigned() && services != object.end() && services->is_array();
    const auto digest = complete ? parseRequestDigest(request->get<std::string>()) : std::nullopt;
    if (!digest) {
        return std::nullopt;
    }
    suspect_record record {.request = *digest, .crashes = crashes->get<std::uint64_t>(), .cleared = cleared->get<std::uint64_t>(), .services = {}};
    for (const auto &service : *services) {
        if (service.is_string()) {
            record.services.insert({service.get<std::string>()});
        }
    }
    record.servers = parseServers(object);
    return record;
}

} // namespace

std::string suspectsText(const std::vector<suspect_record> &records)
{
    auto list = json::array();
    for (const auto &record : records) {
        auto services = json::array();
        for (const auto &service : record.services) {
            services.push_back(service.value);
        }
        auto servers = json::object();
        for (const auto &[server, count] : record.servers) {
            servers[server.value] = count;
        }
        list.push_back({{"request", toString(record.request)},
            {"crashes", record.crashes},
            {"cleared", record.cleared},
            {"services", services},
            {"servers", std::move(servers)}});
    }
    return json {{"suspects", list}}.dump();
}

std::optional<std::vector<suspect_record>> parseSuspects(const std::string &text)
{
    const auto value = parseForeignJson(text);
    const auto list = value.is_object() ? value.find("suspects") : value.end();
    if (!value.is_object() || list == value.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<suspect_record> records;
    for (const auto &each : *list) {
        if (auto record = parseRecord(each)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

milliseconds suspectsWriteDelay(const std::vector<suspect_record> &records, milliseconds sinceLastWrite, std::size_t daemons)
{
    const bool repeated = std::any_of(records.begin(), records.end(), [](const auto &record) { return strikes(record) > 1; });
    const auto interval = std::max(minWriteInterval, std::chrono::ceil<milliseconds>(writeIntervalPerDaemon * daemons));
    const auto afterLast = std::max(milliseconds {0}, interval - sinceLastWrite);
    return repeated ? afterLast : std::max(afterLast, firstCrashDelay);
}

suspect_board::suspect_board(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> changed)
    : m_loop(loop),
      m_store(store),
      m_self(settings.id),
      m_key(keyPrefix + settings.id.value),
      m_changed(std::move(changed)),
      m_objects(loop, store, keyPrefix, {listingInterval, read_freshness::stale_allowed}, {.restoreGrace = settings.lapseGrace}, [this] { objectsChanged(); }),
      m_shared(std::make_shared<std::vector<shared_suspects>>())
{
    m_loop.after(abandonedCheck, [this] { removeAbandoned(); });
}

mirror_runner &suspect_board::objects()
{
    return m_objects;
}

const mirror_runner &suspect_board::objects() const
{
    return m_objects;
}

std::shared_ptr<const std::vector<shared_suspects>> suspect_board::shared() const
{
    return m_shared;
}

void suspect_board::setFleet(const std::vector<fleet_daemon> &daemons)
{
    m_daemons.clear();
    for (const auto &daemon : daemons) {
        m_daemons.insert(daemon.id);
    }
}

void suspect_board::objectsChanged()
{
    auto shared = std::make_shared<std::vector<shared_suspects>>();
    std::map<std::string, seen_object> seen;
    for (const auto &[key, object] : m_objects.mirror().objects()) {
        const auto before = m_seen.find(key);
        const bool same = before != m_seen.end() && before->second.version == object.etag;
        seen[key] = same ? before->second : seen_object {object.etag, m_loop.now()};
        if (auto records = parseSuspects(object.value)) {
            shared->push_back({{key.substr(std::string_view(keyPrefix).size())}, object.etag, std::move(*records)});
        } else if (!same) {
            DAISYSTILE_LOG(WARNING, "guard") << "Shared suspects can't be read." << field("key", key);
        }
    }
    m_seen = std::move(seen);
    m_shared = std::move(shared);
    m_changed();
    scheduleWrite();
}

void suspect_board::share(std::vector<suspect_record> records)
{
    m_own = std::move(records);
    scheduleWrite();
}

bool suspect_board::upToDate() const
{
    const auto own = std::find_if(m_shared->begin(), m_shared->end(), [this](const auto &each) { return each.daemon == m_self; });
    if (!m_own || own == m_shared->end()) {
        return !m_own || m_own->empty();
    }
    // An object of an earlier era is kept for a while although the store may lack it.
    return own->records == *m_own && parseRevision(own->version).era == m_store.era();
}

void suspect_board::writeAgain()
{
    scheduleWrite();
}

// A write whose answer was lost may take effect late and replace a newer one, so the object is compared whenever it changes.
void suspect_board::scheduleWrite()
{
    if (m_writing || upToDate()) {
        return;
    }
    const auto now = m_loop.now();
    const auto sinceLast = m_lastWrite == monotonic_time::min() ? milliseconds::max() / 2 : std::chrono::duration_cast<milliseconds>(now - m_lastWrite);
    m_loop.cancelTimer(m_writeTimer);
    m_writeTimer = m_loop.after(suspectsWriteDelay(*m_own, sinceLast, m_daemons.size()), [this] { write(); });
}

void suspect_board::write()
{
    m_writeTimer = 0;
    if (upToDate()) {
        return;
    }
    m_writing = true;
    m_lastWrite = m_loop.now();
    if (m_own->empty()) {
        m_store.remove(m_key, always {}, [this](const remove_result &result) { written(result); });
    } else {
        m_store.put(m_key, suspectsText(*m_own), always {}, [this](const write_result &result) { written(result); });
    }
}

// After a success the object's change is followed like any other; what is shared meanwhile is written then.
template<class Result> void suspect_board::written(const Result &result)
{
    const bool failed = std::holds_alternative<write_unknown>(result) || std::holds_alternative<platform_unavailable>(result);
    if (failed) {
        DAISYSTILE_LOG(WARNING, "guard") << "Failed to write this daemon's suspects." << field("count", m_own->size());
    }
    m_loop.after(failed ? writeRetryDelay : minWriteInterval, [this] {
        m_writing = false;
        scheduleWrite();
    });
}

void suspect_board::removeAbandoned()
{
    m_loop.after(abandonedCheck, [this] { removeAbandoned(); });
    if (!m_objects.following()) {
        return;
    }
    for (const auto &[key, seen] : m_seen) {
        const daemon_id daemon {key.substr(std::string_view(keyPrefix).size())};
        if (!m_daemons.contains(daemon) && m_loop.now() - seen.since > maxAge) {
            m_store.remove(key, if_version {seen.version}, [key = key](const remove_result &result) {
                const bool failed = std::holds_alternative<write_unknown>(result) || std::holds_alternative<platform_unavailable>(result);
                if (failed) {
                    DAISYSTILE_LOG(WARNING, "guard") << "Failed to remove the suspects of a daemon that is gone." << field("key", key);
                }
            });
        }
    }
}

} // namespace daisystile
