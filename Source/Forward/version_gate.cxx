#include "version_gate.h"

#include <algorithm>

namespace daisystile {

namespace {

constexpr milliseconds maxUnheard {2000};

bool isRunning(const version_rule &rule)
{
    return rule.rollout && rule.rollout->verdict == rollout_verdict::running;
}

} // namespace

version_gate::version_gate(const entry_settings &settings, metrics &registry)
    : m_registry(registry),
      m_exposureShare(settings.bounds.exposureShare),
      m_counts {.daemon = settings.id, .run = stableHash(randomBytes(8)), .beat = 0, .orders = {}},
      m_random(static_cast<std::minstd_rand::result_type>(m_counts.run))
{
}

void version_gate::update(std::shared_ptr<const version_rules> rules)
{
    m_rules = std::move(rules);
    if (!m_rules) {
        return;
    }
    std::erase_if(m_counts.orders, [this](const auto &counts) {
        const auto *rule = ruleOf(counts.first);
        const bool ended = rule == nullptr || !isRunning(*rule);
        if (ended) {
            showShare(counts.first, rule == nullptr ? 0 : rule->targetShare(m_exposureShare, true));
        }
        return ended;
    });
    for (const auto &[service, rule] : *m_rules) {
        if (!isRunning(rule)) {
            continue;
        }
        auto &counts = m_counts.orders[service];
        if (counts.order != rule.rollout->order) {
            counts = {.order = rule.rollout->order, .stage = {}, .runningOnBase = 0, .routes = {}};
        }
        counts.stage = rule.rollout->stage;
    }
}

void version_gate::setExposureShare(double share)
{
    m_exposureShare = share;
}

void version_gate::setHeardAt(monotonic_time heardAt)
{
    m_heardAt = heardAt;
}

const version_rule *version_gate::ruleOf(const service_name &service) const
{
    if (!m_rules) {
        return nullptr;
    }
    const auto found = m_rules->find(service);
    return found == m_rules->end() ? nullptr : &found->second;
}

bool version_gate::fresh(monotonic_time now) const
{
    return m_heardAt && now - *m_heardAt < maxUnheard;
}

double version_gate::targetShare(const version_rule &rule, monotonic_time now) const
{
    const bool current = fresh(now);
    return !current && m_stopped.contains(rule.rollout->order) ? 0 : rule.targetShare(m_exposureShare, current);
}

admitted_versions version_gate::admitted(request_part &part, monotonic_time now)
{
    const auto *rule = ruleOf(part.service);
    if (rule == nullptr) {
        return {};
    }
    if (!isRunning(*rule)) {
        return {&rule->main()};
    }
    const double share = targetShare(*rule, now);
    if (share >= 1) {
        return {&rule->rollout->target};
    }
    if (!part.versionDraw) {
        part.versionDraw = std::uniform_real_distribution<>()(m_random);
    }
    // Retries and hedges go to the base, so that a bad version costs few requests.
    const bool toTarget = part.tried.empty() && *part.versionDraw < share;
    return toTarget ? admitted_versions {&rule->rollout->target, &rule->base} : admitted_versions {&rule->base};
}

const software_version *version_gate::mainVersion(const service_name &service) const
{
    const auto *rule = ruleOf(service);
    return rule == nullptr ? nullptr : &rule->main();
}

void version_gate::sent(running_attempt &attempt, const server_entry &server)
{
    const auto *rule = ruleOf(attempt.service);
    if (rule == nullptr) {
        return;
    }
    attempt.software = server.software;
    attempt.order = isRunning(*rule) ? rule->rollout->order : std::string();
}

// A connection that couldn't be made and a request that a server didn't run say nothing of its version.
void version_gate::ended(const running_attempt &attempt, const exchange_result &exchange, monotonic_time now)
{
    const auto order = m_counts.orders.find(attempt.service);
    if (attempt.order.empty() || order == m_counts.orders.end() || order->second.order != attempt.order) {
        return;
    }
    const auto latency = std::chrono::duration_cast<microseconds>(now - attempt.sent);
    if (const auto *broken = std::get_if<exchange_broken>(&exchange)) {
        if (broken->mayHaveRun) {
            count(attempt, !broken->abandoned, latency);
        }
        return;
    }
    const auto verdict = std::get<exchange_answer>(exchange).answer.verdict;
    if (verdict != answer_verdict::not_executed && verdict != answer_verdict::wrong_server) {
        count(attempt, verdict != answer_verdict::success, latency);
    }
}

void version_gate::count(const running_attempt &attempt, bool failure, microseconds latency)
{
    auto &compared = m_counts.orders.at(attempt.service).routes[attempt.route];
    auto &counts = attempt.software == ruleOf(attempt.service)->rollout->target ? compared.target : compared.base;
    if (failure) {
        counts.addFailure();
    } else {
        counts.addSuccess(latency);
    }
    m_registry
        .counter("daisystile_version_answers_total",
            "Answers of backend servers while an order for their service runs",
            {{"service", attempt.service.value}, {"version", attempt.software.value}, {"outcome", failure ? "failure" : "success"}})
        .add();
}

bool version_gate::counting() const
{
    return !m_counts.orders.empty();
}

daemon_counts version_gate::report(const std::unordered_map<attempt_id, running_attempt> &attempts, monotonic_time now)
{
    m_counts.beat += 1;
    for (auto &[service, order] : m_counts.orders) {
        const auto &rule = *ruleOf(service);
        order.runningOnBase = static_cast<std::uint64_t>(std::count_if(attempts.begin(), attempts.end(), [&, &name = service](const auto &attempt) {
            return attempt.second.service == name && attempt.second.software != rule.rollout->target;
        }));
        if (!fresh(now) && !m_stopped.contains(order.order) && faultShown(order.routes)) {
            DAISYSTILE_LOG(WARNING, "rollout") << "Stopped a version by this daemon's own counts." << field("service", service.value)
                                               << field("order", order.order);
            m_stopped.insert(order.order);
        }
        showShare(service, targetShare(rule, now));
    }
    return m_counts;
}

void version_gate::showShare(const service_name &service, double share)
{
    m_registry.gauge("daisystile_rollout_share", "Share of first attempts that goes to the target of an order", {{"service", service.value}}).set(share);
}

} // namespace daisystile
