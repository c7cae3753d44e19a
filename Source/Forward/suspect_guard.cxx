#include "suspect_guard.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds expiryInterval {1000};

// The server has answered, so it has survived the request.
bool hasRun(const exchange_result &exchange)
{
    const auto *answered = std::get_if<exchange_answer>(&exchange);
    return answered != nullptr && answered->answer.verdict != answer_verdict::not_executed && answered->answer.verdict != answer_verdict::wrong_server;
}

void logQuarantine(const suspect_record &record, std::string_view learnedFrom)
{
    DAISYSTILE_LOG(WARNING, "guard") << "Request quarantined." << field("content", toString(record.request)) << field("servers_ended", strikes(record))
                                     << field("service", record.services.empty() ? "all" : record.services.begin()->value)
                                     << field("services", record.services.size()) << field("learned_from", learnedFrom);
}

} // namespace

suspect_guard::suspect_guard(reactor &loop, forward_metrics &counters, callbacks notify)
    : m_loop(loop),
      m_metrics(counters),
      m_notify(std::move(notify))
{
}

run_permission suspect_guard::permission(const request_digest &request, const service_name &service) const
{
    return m_suspects.permission(request, service, m_loop.now());
}

std::optional<milliseconds> suspect_guard::refusal(const running_request &request) const
{
    if (m_suspects.empty()) {
        return std::nullopt;
    }
    std::size_t refused = 0;
    milliseconds longest {0};
    for (const auto &part : request.parts) {
        if (const auto left = m_suspects.quarantineLeft(request.digest, part.service, m_loop.now())) {
            refused += 1;
            longest = std::max(longest, *left);
        }
    }
    const auto minParts = request.state.terms.acceptsAny ? 1 : request.state.terms.minParts;
    return refused > 0 && request.parts.size() - refused < minParts ? std::optional(longest) : std::nullopt;
}

bool suspect_guard::suspected(const running_request &request) const
{
    return !m_suspects.empty()
        && std::any_of(request.parts.begin(), request.parts.end(), [&](const auto &part) { return m_suspects.suspected(request.digest, part.service); });
}

void suspect_guard::hold(const request_digest &request, const held_part &part)
{
    m_held[request].push_back(part);
}

void suspect_guard::trialStarted(const request_digest &request, attempt_id attempt)
{
    m_metrics.trials.add();
    m_suspects.trialStarted(request, attempt, m_loop.now());
    m_loop.after(maxTrial, [this, request] { resume(request); });
}

void suspect_guard::attemptEnded(const running_attempt &attempt, attempt_id id, const exchange_result &exchange)
{
    const auto *broken = std::get_if<exchange_broken>(&exchange);
    if (broken != nullptr && broken->serverEnded) {
        serverEnded(attempt);
    } else if (!m_suspects.empty() && hasRun(exchange) && m_suspects.survived(attempt.digest, attempt.service)) {
        DAISYSTILE_LOG(INFO, "guard") << "Request cleared: a server has survived it." << field("request", attempt.clientId.value)
                                      << field("content", toString(attempt.digest)) << field("server", attempt.server.value);
        changed();
    }
    m_suspects.trialEnded(attempt.digest, id);
}

void suspect_guard::serverEnded(const running_attempt &attempt)
{
    m_metrics.serverEnds.add();
    const auto now = m_loop.now();
    const bool before = m_suspects.quarantineLeft(attempt.digest, attempt.service, now).has_value();
    const auto record = m_suspects.crashed(attempt.digest, attempt.service, attempt.sent, now, attempt.server);
    logServerEnd(attempt, strikes(record), now);
    if (!before && m_suspects.quarantineLeft(attempt.digest, attempt.service, now)) {
        logQuarantine(record, "own attempts");
    }
    changed();
}

void suspect_guard::resume(const request_digest &request)
{
    const auto found = m_held.find(request);
    if (found == m_held.end()) {
        return;
    }
    const auto parts = std::move(found->second);
    m_held.erase(found);
    for (const auto &part : parts) {
        m_notify.resume(part);
    }
}

void suspect_guard::learn(const std::vector<shared_suspects> &shared, const daemon_id &self)
{
    const auto now = m_loop.now();
    std::map<daemon_id, std::string> learned;
    bool anyNew = false;
    for (const auto &each : shared) {
        learned.emplace(each.daemon, each.version);
        const auto before = m_learned.find(each.daemon);
        if (before != m_learned.end() && before->second == each.version) {
            continue;
        }
        for (const auto &record : each.records) {
            const bool isNew = m_suspects.learn(record, each.daemon == self ? record_origin::this_daemon : record_origin::other_daemon, now);
            anyNew = anyNew || isNew;
            const auto merged = isNew ? m_suspects.find(record.request) : std::nullopt;
            if (merged && strikes(*merged) >= crashesUntilQuarantine) {
                logQuarantine(*merged, each.daemon.value);
            }
        }
    }
    m_learned = std::move(learned);
    if (anyNew) {
        changed();
    }
}

std::vector<std::pair<suspect_record, milliseconds>> suspect_guard::quarantined() const
{
    return m_suspects.quarantined(m_loop.now());
}

bool suspect_guard::lift(const request_digest &request)
{
    const auto record = m_suspects.lift(request);
    if (record) {
        DAISYSTILE_LOG(WARNING, "guard") << "Quarantine lifted by an operator." << field("content", toString(request));
        changed();
    }
    return record.has_value();
}

void suspect_guard::changed()
{
    m_metrics.quarantined.set(static_cast<double>(m_suspects.quarantined(m_loop.now()).size()));
    auto records = m_suspects.toShare();
    if (records != m_shared) {
        m_shared = records;
        m_notify.share(std::move(records));
    }
    if (!m_expiring && !m_suspects.empty()) {
        m_expiring = true;
        m_loop.after(expiryInterval, [this] { expire(); });
    }
}

void suspect_guard::expire()
{
    m_expiring = false;
    m_suspects.expire(m_loop.now());
    changed();
}

} // namespace daisystile
