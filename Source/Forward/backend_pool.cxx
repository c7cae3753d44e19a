#include "backend_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace daisystile {

namespace {

constexpr milliseconds sweepInterval {100};
constexpr milliseconds connectTimeout {1000};
// The sum of the daemons' shares must stay below a cold server's rate limit while the fleet's size changes.
constexpr double coldUsableShare = 0.8;
constexpr std::size_t guaranteedAnswerBytes = 64U << 10U;
// A fifth of the memory of a small host.
constexpr std::size_t maxAnswerBytes = 32U << 20U;
// The longest answer that is read has room in any case.
constexpr std::size_t minAnswerBytes = 8U << 20U;
// An entry may disappear and come back while the server process lives on, so what the process has stated is kept this long.
constexpr seconds unlistedRetention {300};

std::size_t answerBytes(std::size_t budgetBytes)
{
    return budgetBytes == 0 ? maxAnswerBytes : std::clamp(budgetBytes / 2, minAnswerBytes, maxAnswerBytes);
}

} // namespace

backend_pool::backend_pool(reactor &loop, const entry_settings &settings, memory_account &memory, callbacks notify)
    : m_loop(loop),
      m_settings(settings),
      m_notify(std::move(notify)),
      m_view(std::make_shared<routing_snapshot>()),
      m_answerBuffers(memory, guaranteedAnswerBytes, answerBytes(memory.budgetBytes())),
      m_random(static_cast<std::minstd_rand::result_type>(stableHash(settings.id.value)))
{
    sweep();
}

void backend_pool::update(const std::shared_ptr<const routing_snapshot> &view, const coordinator_table &coordinators)
{
    m_view = view;
    m_coordinators = &coordinators;
    for (auto &[id, server] : m_servers) {
        server->unlistedSince = server->listed ? m_loop.now() : server->unlistedSince;
        server->barred = true;
        server->listed = false;
    }
    m_byService.clear();
    for (const auto &[service, entries] : view->servers->byService) {
        for (const auto &entry : entries) {
            auto &server = m_servers[entry.id];
            if (!server || server->entry.born != entry.born || server->entry.address != entry.address) {
                if (server) {
                    detachConnections(*server);
                }
                server = std::make_unique<backend>();
            }
            apply(*server, entry, coordinators.sendersOf(service));
            m_byService[service].push_back(server.get());
        }
    }
}

void backend_pool::setBounds(const fleet_bounds &bounds)
{
    m_settings.bounds = bounds;
}

// Exchanges on connections to a previous process of the server may finish.
void backend_pool::detachConnections(backend &server)
{
    std::move(server.connections.begin(), server.connections.end(), std::back_inserter(m_detached));
    server.connections.clear();
}

void backend_pool::apply(backend &server, const server_entry &entry, const service_senders &senders)
{
    const bool changed = !(server.entry == entry);
    server.entry = entry;
    if (server.limit.limited()) {
        server.limit.setPosition(m_coordinators->positionAt(entry));
    }
    server.listed = true;
    if (changed) {
        server.coldUntil = m_loop.now() + entry.coldLeft;
    }
    server.barred = server.misdirected || server.availability.leaving() || !m_view->mayServe(entry);
    const auto *terms = m_view->routes ? m_view->routes->terms(entry.service) : nullptr;
    const auto sendersInDomain = senders.countByDomain.find(entry.domain);
    const double usableConnections = (terms == nullptr ? 1 : terms->connections) * senders.limitShare * static_cast<double>(senders.count);
    server.limitShare = senders.limitShare;
    server.share = connectionShare({.accepted = static_cast<unsigned>(std::lround(usableConnections)),
        .local = entry.domain == m_settings.domain,
        .domainDaemons = sendersInDomain == senders.countByDomain.end() ? 1 : static_cast<unsigned>(sendersInDomain->second),
        .allDaemons = static_cast<unsigned>(senders.count)});
}

void backend_pool::refreshCold(backend &server, monotonic_time now)
{
    const auto *terms = m_view->routes ? m_view->routes->terms(server.entry.service) : nullptr;
    if (terms == nullptr || terms->coldRequestsPerSecond <= 0) {
        server.coldAllowance = 1;
        return;
    }
    const auto &bounds = m_settings.bounds;
    const double all = (terms->coldRequestsPerSecond * bounds.coldFactor + bounds.coldSlack) * coldUsableShare;
    const double share = all * server.limitShare;
    // Half of the share may be used at once and half is refilled over a second, so that no second exceeds the share.
    const double passed = std::chrono::duration<double>(now - server.coldRefilled).count();
    server.coldAllowance = std::min(share / 2, server.coldAllowance + passed * share / 2);
    server.coldRefilled = now;
}

replica_view backend_pool::viewOf(backend &server, monotonic_time now)
{
    replica_view view;
    const auto *idle = idleConnection(server, now);
    const bool room = idle != nullptr || server.connections.size() < server.share.most;
    view.local = server.entry.domain == m_settings.domain;
    view.running = server.record.running();
    view.most = room && !server.barred && server.availability.available(now) && server.limit.allows(now) ? view.running + 1 : 0;
    view.slots = server.entry.slots;
    view.stalled = server.record.stalled(now);
    view.cold = now < server.coldUntil;
    view.slowness = server.record.slowness(now);
    view.failures = server.record.failures(now);
    view.connected = idle != nullptr;
    if (view.cold) {
        refreshCold(server, now);
        view.most = server.coldAllowance >= 1 ? view.most : 0;
    }
    return view;
}

backend_connection *backend_pool::idleConnection(backend &server, monotonic_time now)
{
    const auto found = std::find_if(
        server.connections.begin(), server.connections.end(), [&](const auto &connection) { return connection->isOpen() && connection->usable(now); });
    return found == server.connections.end() ? nullptr : found->get();
}

backend *
backend_pool::choose(const service_name &service, const std::vector<backend_server_id> &excluded, microseconds typicalLatency, const software_version *version)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return nullptr;
    }
    const auto now = m_loop.now();
    std::vector<replica_view> candidates;
    candidates.reserve(found->second.size());
    for (auto *server : found->second) {
        auto candidate = viewOf(*server, now);
        const bool otherVersion = version != nullptr && server->entry.software != *version;
        if (otherVersion || std::find(excluded.begin(), excluded.end(), server->entry.id) != excluded.end()) {
            candidate.most = 0;
        }
        candidates.push_back(candidate);
    }
    const auto index = chooseReplica(candidates, typicalLatency, {}, draw());
    return index ? found->second[*index] : nullptr;
}

monotonic_time backend_pool::availableFrom(const service_name &service,
    const std::vector<backend_server_id> &excluded,
    monotonic_time now,
    const software_version *version) const
{
    auto earliest = monotonic_time::max();
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return earliest;
    }
    for (const auto *server : found->second) {
        const bool ofVersion = version == nullptr || server->entry.software == *version;
        const bool usable = !server->barred && ofVersion && std::find(excluded.begin(), excluded.end(), server->entry.id) == excluded.end();
        earliest = usable ? std::min(earliest, std::max(server->availability.availableFrom(), server->limit.availableFrom(now))) : earliest;
    }
    return earliest;
}

attempt_id backend_pool::send(backend &server, const client_request_id &request, std::string bytes, bool bodyless, milliseconds suspectAfter)
{
    const auto now = m_loop.now();
    auto *connection = idleConnection(server, now);
    if (connection == nullptr) {
        backend_connection::callbacks notify;
        notify.done = [this, id = server.entry.id](backend_connection &which, exchange_result result) {
            exchangeDone(id, which, std::move(result));
        };
        notify.closedWhileIdle = [this, id = server.entry.id](backend_connection &which) {
            closedWhileIdle(id, which);
        };
        notify.noticed = [this, id = server.entry.id](backend_connection &which, const server_notice &notice) {
            noticed(id, which, notice);
        };
        server.connections.push_back(std::make_unique<backend_connection>(m_loop, server.entry.address, server.share.idle, m_answerBuffers, std::move(notify)));
        connection = server.connections.back().get();
    }
    if (now < server.coldUntil) {
        server.coldAllowance -= 1;
    }
    server.limit.sent(now, draw());
    const auto attempt = m_nextAttempt++;
    server.record.started(attempt, now, suspectAfter);
    m_attempts[connection] = attempt;
    m_places.emplace(attempt, attempt_place {server.entry.id, connection});
    connection->begin(request, std::move(bytes), bodyless);
    return attempt;
}

void backend_pool::abandon(attempt_id attempt, monotonic_time breakOffAt)
{
    const auto place = m_places.find(attempt);
    if (place != m_places.end()) {
        place->second.connection->abandon(breakOffAt);
    }
}

void backend_pool::exchangeDone(const backend_server_id &server, backend_connection &connection, exchange_result result)
{
    const auto entry = m_servers.find(server);
    const auto *answered = std::get_if<exchange_answer>(&result);
    if (answered != nullptr && entry != m_servers.end() && owns(*entry->second, connection)) {
        takeLimit(*entry->second, answered->answer);
    }
    const bool check = entry != m_servers.end() && mayHaveEnded(*entry->second, connection, result);
    if (entry != m_servers.end() && !connection.usable(m_loop.now())) {
        drop(*entry->second, connection);
    }
    if (check) {
        checkEnd(entry->second->entry.address, removeAttempt(connection), std::get<exchange_broken>(result));
    } else {
        endAttempt(connection, std::move(result));
    }
}

// A server that is leaving ends in any case, and what another process of the server has done says nothing about this one.
bool backend_pool::mayHaveEnded(const backend &server, const backend_connection &connection, const exchange_result &result)
{
    const auto *broken = std::get_if<exchange_broken>(&result);
    return broken != nullptr && broken->connectionLost && server.listed && !server.barred && owns(server, connection);
}

bool backend_pool::owns(const backend &server, const backend_connection &connection)
{
    return std::any_of(server.connections.begin(), server.connections.end(), [&](const auto &own) { return own.get() == &connection; });
}

void backend_pool::checkEnd(const ip_address &address, attempt_id attempt, exchange_broken result)
{
    auto &entry = m_endChecks[address];
    entry.waiting.emplace_back(attempt, result);
    m_notify.checkingEnd(attempt);
    if (!entry.check) {
        entry.check = std::make_unique<server_end_check>(m_loop, address, [this, address](bool ended) { endChecked(address, ended); });
    }
}

void backend_pool::endChecked(const ip_address &address, bool ended)
{
    // Kept until the end, because its callback is running.
    const auto finished = m_endChecks.extract(address);
    for (auto &[attempt, result] : finished.mapped().waiting) {
        result.serverEnded = ended;
        m_notify.done({attempt, result});
    }
}

void backend_pool::closedWhileIdle(const backend_server_id &server, backend_connection &connection)
{
    const auto entry = m_servers.find(server);
    if (entry != m_servers.end()) {
        drop(*entry->second, connection);
    }
}

// A notice on a connection to a previous process of the server doesn't concern the current one.
void backend_pool::noticed(const backend_server_id &id, const backend_connection &connection, const server_notice &notice)
{
    const auto entry = m_servers.find(id);
    if (entry == m_servers.end()) {
        return;
    }
    auto &server = *entry->second;
    if (!owns(server, connection)) {
        return;
    }
    logNotice(server, notice);
    if (notice.leaving) {
        server.availability.setLeaving();
        server.barred = true;
    }
    if (notice.retryAfter) {
        server.availability.setRetryAfter(m_loop.now(), *notice.retryAfter);
    }
    m_notify.noticed(notice);
}

// A refusal need not repeat the limit, and what another server states at this address doesn't concern this one.
void backend_pool::takeLimit(backend &server, const server_answer &answer)
{
    const bool says = answer.verdict == answer_verdict::success || answer.verdict == answer_verdict::failure || answer.requestsPerSecond.has_value();
    const bool wasLimited = server.limit.limited();
    if (answer.limitMalformed) {
        logLimitChange(server, limit_change::malformed);
        return;
    }
    if (!says || answer.verdict == answer_verdict::wrong_server || (!wasLimited && !answer.requestsPerSecond)) {
        return;
    }
    if (!wasLimited) {
        server.limit.setPosition(m_coordinators->positionAt(server.entry));
    }
    server.limit.stated(answer.requestsPerSecond, m_loop.now(), draw());
    if (wasLimited != server.limit.limited()) {
        logLimitChange(server, wasLimited ? limit_change::ended : limit_change::began);
    }
}

void backend_pool::logLimitChange(backend &server, limit_change change) const
{
    const auto line = field("server", server.entry.id.value) + field("service", server.entry.service.value);
    if (change == limit_change::malformed) {
        if (!std::exchange(server.malformedLimitLogged, true)) {
            DAISYSTILE_LOG(WARNING, "servers") << "Backend server states a limit that is not a number of requests per second." << line;
        }
    } else if (change == limit_change::ended) {
        DAISYSTILE_LOG(INFO, "servers") << "Backend server no longer limits requests." << line;
    } else {
        DAISYSTILE_LOG(INFO, "servers") << "Backend server limits requests." << line << field("per_second", std::to_string(server.limit.perSecond()))
                                        << field("this_daemon_per_second", std::to_string(server.limit.ownShare()));
    }
    m_notify.limitChanged(change);
}

void backend_pool::logNotice(backend &server, const server_notice &notice) const
{
    const auto line = field("server", server.entry.id.value) + field("service", server.entry.service.value);
    if (notice.leaving && !server.availability.leaving()) {
        DAISYSTILE_LOG(INFO, "servers") << "Backend server is leaving." << line << field("entry", server.listed ? "listed" : "removed");
    }
    if (notice.retryAfter && server.availability.available(m_loop.now())) {
        DAISYSTILE_LOG(INFO, "servers") << "Backend server asks for a pause." << line
                                        << field("retry_after_ms", static_cast<std::uint64_t>(notice.retryAfter->count()));
    }
    if (notice.retryAfterMalformed && !server.malformedRetryLogged) {
        server.malformedRetryLogged = true;
        DAISYSTILE_LOG(WARNING, "servers") << "Backend server states a retry time that is not a number of seconds." << line;
    }
}

// Closes the connection at once: if it opened later, it would still send a request that was meanwhile sent elsewhere.
void backend_pool::drop(backend &server, backend_connection &connection)
{
    connection.close();
    const auto found = std::find_if(server.connections.begin(), server.connections.end(), [&](const auto &other) { return other.get() == &connection; });
    if (found != server.connections.end()) {
        m_retired.push_back(std::move(*found));
        server.connections.erase(found);
    }
}

void backend_pool::answered(const backend_server_id &server, attempt_id attempt, microseconds typicalLatency)
{
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        found->second->record.answered(attempt, m_loop.now(), typicalLatency);
    }
}

void backend_pool::failed(const backend_server_id &server, attempt_id attempt, double weight)
{
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        found->second->record.failed(attempt, m_loop.now(), weight);
    }
}

void backend_pool::misdirected(const backend_server_id &server)
{
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        found->second->misdirected = true;
        found->second->barred = true;
    }
}

server_counts backend_pool::counts() const
{
    server_counts counts;
    const auto now = m_loop.now();
    for (const auto &[id, server] : m_servers) {
        if (server->listed) {
            counts.usable += server->barred ? 0 : 1;
            counts.cold += !server->barred && now < server->coldUntil ? 1 : 0;
            counts.barred += server->barred ? 1 : 0;
            counts.leaving += server->availability.leaving() ? 1 : 0;
            counts.limited += !server->barred && server->limit.limited() ? 1 : 0;
            counts.paused += !server->barred && !server->availability.available(now) ? 1 : 0;
        }
    }
    return counts;
}

double backend_pool::draw()
{
    return std::uniform_real_distribution<>()(m_random);
}

void backend_pool::sweep()
{
    m_retired.clear();
    const auto now = m_loop.now();
    sweepDetached(now);
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        sweepServer(*entry->second, now);
        entry = forgettable(*entry->second, now) ? m_servers.erase(entry) : std::next(entry);
    }
    m_loop.after(sweepInterval, [this] { sweep(); });
}

bool backend_pool::forgettable(const backend &server, monotonic_time now) const
{
    if (server.listed || !server.connections.empty()) {
        return false;
    }
    return server.availability.available(now) || now - server.unlistedSince > unlistedRetention;
}

void backend_pool::sweepDetached(monotonic_time now)
{
    std::erase_if(m_detached, [](const auto &connection) { return !connection->busy(); });
    std::vector<backend_connection *> broken;
    for (const auto &connection : m_detached) {
        if (connection->abandonExpired(now)) {
            broken.push_back(connection.get());
        }
    }
    for (auto *connection : broken) {
        connection->close();
        endAttempt(*connection, exchange_broken {.mayHaveRun = true, .reason = "abandoned", .abandoned = true});
    }
}

void backend_pool::endAttempt(const backend_connection &connection, exchange_result result)
{
    if (const auto attempt = removeAttempt(connection); attempt != 0) {
        m_notify.done({attempt, std::move(result)});
    }
}

attempt_id backend_pool::removeAttempt(const backend_connection &connection)
{
    const auto found = m_attempts.find(&connection);
    if (found == m_attempts.end()) {
        return 0;
    }
    const auto attempt = found->second;
    m_attempts.erase(found);
    m_places.erase(attempt);
    return attempt;
}

void backend_pool::sweepServer(backend &server, monotonic_time now)
{
    std::vector<backend_connection *> broken;
    for (const auto &connection : server.connections) {
        const bool neverOpened = !connection->isOpen() && now - connection->startedAt() > connectTimeout;
        if (connection->expired(now) || connection->abandonExpired(now) || neverOpened || (server.barred && !connection->busy())) {
            broken.push_back(connection.get());
        }
    }
    for (auto *connection : broken) {
        const bool opened = connection->isOpen();
        drop(server, *connection);
        endAttempt(*connection, exchange_broken {.mayHaveRun = opened, .reason = opened ? "abandoned" : "connection not opened", .abandoned = opened});
    }
}

} // namespace daisystile
