#include "quota_board.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

namespace {

using nlohmann::json;

constexpr const char *claimsKey = "daisystile-quota/claims";
constexpr milliseconds tickInterval {50};
constexpr milliseconds retryPause {300};
// Keepers that write at the same moment try again at different ones.
constexpr milliseconds maxConflictPause {60};

json partsJson(const quota_parts &parts)
{
    auto object = json::object();
    for (const auto &[account, part] : parts) {
        object[account.value] = part;
    }
    return object;
}

// Throws json::exception on wrong types.
quota_parts parseParts(const json &object)
{
    quota_parts parts;
    for (const auto &[account, part] : object.items()) {
        parts[{account}] = std::clamp(part.get<double>(), 0.0, 1.0);
    }
    return parts;
}

} // namespace

std::string quotaClaimsText(const quota_claims &claims)
{
    auto keepers = json::object();
    for (const auto &[id, keeper] : claims.keepers) {
        keepers[id.value] = {{"place", keeper.place}, {"beat", keeper.beat}, {"claimed", partsJson(keeper.claimed)}, {"wanted", partsJson(keeper.wanted)}};
    }
    return json {{"era", claims.era}, {"settled", claims.settled}, {"keepers", std::move(keepers)}}.dump();
}

std::optional<quota_claims> parseQuotaClaims(const std::string &text)
{
    const auto object = parseForeignJson(text);
    try {
        quota_claims claims;
        claims.era = object.at("era").get<std::uint64_t>();
        claims.settled = object.at("settled").get<bool>();
        for (const auto &[id, each] : object.at("keepers").items()) {
            claims.keepers[{id}] = {
                each.at("place").get<unsigned>(), each.at("beat").get<std::uint64_t>(), parseParts(each.at("claimed")), parseParts(each.at("wanted"))};
        }
        return claims;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

quota_board::quota_board(reactor &loop, platform_client &store, const entry_settings &settings, claims_consumer claimed)
    : m_loop(loop),
      m_store(store),
      m_claimer({settings.id.value + "/" + std::to_string(stableHash(randomBytes(8)))}, {}),
      m_claimed(std::move(claimed)),
      m_firstStart(settings.bootstrap)
{
}

void quota_board::want(quota_parts parts)
{
    m_wants = !parts.empty();
    m_claimer.want(std::move(parts));
    startTicking();
    readIfDue();
}

void quota_board::keep(bool keeper)
{
    m_askedFirst = keeper;
    startTicking();
}

void quota_board::startTicking()
{
    if (!m_ticking) {
        tick();
    }
}

void quota_board::tick()
{
    m_ticking = m_askedFirst || m_wants;
    if (!m_ticking) {
        return;
    }
    readIfDue();
    m_loop.after(tickInterval, [this] { tick(); });
}

void quota_board::readIfDue()
{
    const auto now = m_loop.now();
    if (!m_busy && now >= m_notBefore && m_claimer.due(now)) {
        readClaims();
    }
}

void quota_board::readClaims()
{
    m_busy = true;
    m_store.get(claimsKey, [this](const read_result &result) { claimsRead(result); });
}

void quota_board::claimsRead(const read_result &result)
{
    const auto now = m_loop.now();
    if (const auto *object = std::get_if<platform_object>(&result)) {
        const auto claims = parseQuotaClaims(object->value);
        if (!claims) {
            readUnreadable(object->etag, now);
            return;
        }
        m_version = object->etag;
        m_claimer.read(*claims, m_store.era(), now);
        prepareWrite();
    } else if (std::holds_alternative<object_not_found>(result)) {
        m_version.clear();
        m_claimer.readNone(m_store.era(), m_firstStart, now);
        prepareWrite();
    } else {
        finished(retryPause);
    }
}

// What is given up must be out of use before others can take it.
void quota_board::prepareWrite()
{
    const bool begun = m_claimer.begin(m_loop.now());
    publish([this, begun](const quota_parts &held) {
        if (begun) {
            write(m_claimer.next(held, m_loop.now()));
        } else {
            finished(retryPause);
        }
    });
}

// Nobody can renew a lease while another writer's text is there, so all have ended when it has been there for a lease's time.
void quota_board::readUnreadable(const std::string &version, monotonic_time now)
{
    if (m_unreadable != version) {
        DAISYSTILE_LOG(ERROR, "quota") << "The claims on quotas can't be read." << field("revision", version);
        m_unreadable = version;
        m_unreadableSince = now;
    }
    if (now - m_unreadableSince <= m_claimer.longestLease()) {
        finished(retryPause);
        return;
    }
    DAISYSTILE_LOG(WARNING, "quota") << "Claims on quotas that can't be read are replaced." << field("revision", version);
    m_version = version;
    m_claimer.read({{}, m_store.era(), true}, m_store.era(), now);
    prepareWrite();
}

void quota_board::write(const quota_claims &claims)
{
    const auto condition = m_version.empty() ? write_condition(if_absent {}) : write_condition(if_version {m_version});
    m_store.put(claimsKey, quotaClaimsText(claims), condition, [this](const write_result &result) { claimsWritten(result); });
}

void quota_board::claimsWritten(const write_result &result)
{
    if (std::holds_alternative<object_written>(result)) {
        m_claimer.written(m_loop.now());
        publish([](const quota_parts &) {});
        finished(milliseconds {0});
        return;
    }
    m_claimer.notWritten();
    const bool conflict = std::holds_alternative<write_conflict>(result);
    const auto pause = static_cast<milliseconds::rep>(stableHash(randomBytes(8)) % static_cast<std::uint64_t>(maxConflictPause.count()));
    finished(conflict ? milliseconds {pause} : retryPause);
}

void quota_board::publish(std::function<void(const quota_parts &held)> applied)
{
    m_claimed({m_claimer.inUse(m_loop.now()), m_claimer.leaseEnd()}, std::move(applied));
}

void quota_board::finished(milliseconds pause)
{
    m_busy = false;
    m_notBefore = m_loop.now() + pause;
}

} // namespace daisystile
