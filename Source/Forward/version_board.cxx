#include "version_board.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystile {

using nlohmann::json;

namespace {

constexpr const char *basesKeyPrefix = "daisystile-versions/";
constexpr const char *basesKey = "daisystile-versions/base";
constexpr const char *reportKeyPrefix = "daisystile-rollouts/";
constexpr milliseconds ordersCheck {5000};
constexpr milliseconds basesCheck {30000};
constexpr milliseconds basesWriteDelay {500};
constexpr milliseconds tickInterval {1000};
// A daemon that has reported nothing for this time may apply an earlier stage.
constexpr milliseconds maxReportAge {4000};

std::string textOf(rollout_verdict verdict)
{
    return verdict == rollout_verdict::running ? "running" : verdict == rollout_verdict::succeeded ? "succeeded" : "rolled_back";
}

} // namespace

std::string baseVersionsText(const std::map<service_name, software_version> &bases)
{
    auto services = json::object();
    for (const auto &[service, version] : bases) {
        services[service.value] = version.value;
    }
    return json {{"services", std::move(services)}}.dump();
}

std::optional<std::map<service_name, software_version>> parseBaseVersions(const std::string &text)
{
    const auto object = parseForeignJson(text);
    try {
        std::map<service_name, software_version> bases;
        for (const auto &[service, version] : object.at("services").items()) {
            bases[{service}] = {version.get<std::string>()};
        }
        return bases;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

version_board::version_board(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> changed)
    : m_loop(loop),
      m_store(store),
      m_self(settings.id),
      m_reportKey(reportKeyPrefix + settings.id.value),
      m_exposureShare(settings.bounds.exposureShare),
      m_changed(std::move(changed)),
      m_orders(loop, store, rolloutKeyPrefix, {ordersCheck, read_freshness::stale_allowed}, {.restoreGrace = settings.lapseGrace}, [this] { ordersChanged(); }),
      m_bases(loop, store, basesKeyPrefix, {basesCheck, read_freshness::stale_allowed}, {.restoreGrace = settings.lapseGrace}, [this] { basesChanged(); })
{
    if (active()) {
        m_rules = std::make_shared<version_rules>();
        m_loop.after(tickInterval, [this] { tick(); });
    }
}

bool version_board::active() const
{
    return m_exposureShare > 0;
}

mirror_runner &version_board::orders()
{
    return m_orders;
}

mirror_runner &version_board::bases()
{
    return m_bases;
}

const mirror_runner &version_board::orders() const
{
    return m_orders;
}

const mirror_runner &version_board::bases() const
{
    return m_bases;
}

std::shared_ptr<const version_rules> version_board::rules() const
{
    return m_rules;
}

void version_board::setServers(std::shared_ptr<const server_catalog> servers)
{
    m_servers = std::move(servers);
    if (active()) {
        m_rules = std::make_shared<version_rules>(versionRules(*m_servers, m_recorded, statuses()));
        scheduleBases();
    }
}

void version_board::setFleet(const std::vector<fleet_daemon> &daemons)
{
    m_daemons.clear();
    for (const auto &daemon : daemons) {
        m_daemons.insert(daemon.id);
    }
}

void version_board::takeCounts(daemon_counts counts)
{
    if (!active()) {
        return;
    }
    if (counts.daemon == m_self) {
        m_own = counts;
    }
    auto &heard = m_heard[{counts.daemon, counts.run}];
    if (counts.beat > heard.counts.beat) {
        heard = {std::move(counts), m_loop.now()};
    }
}

std::string version_board::ownCounts() const
{
    return running() ? countsText(m_own) : std::string();
}

// Orders and base versions.

void version_board::ordersChanged()
{
    std::map<service_name, seen_order> seen;
    for (const auto &[key, object] : m_orders.mirror().objects()) {
        auto read = readRolloutOrder(object.value);
        if (const auto *error = std::get_if<malformed_text>(&read)) {
            DAISYSTILE_LOG(WARNING, "rollout") << "Order can't be read." << field("key", key) << field("reason", error->reason);
            continue;
        }
        auto &order = std::get<rollout_order>(read);
        const auto service = order.service;
        seen.insert_or_assign(service, readOrder(key, object, std::move(order)));
    }
    m_seen = std::move(seen);
    update();
}

version_board::seen_order version_board::readOrder(const std::string &key, const platform_object &object, rollout_order order) const
{
    auto written = object.status.empty() ? std::nullopt : readRolloutStatus(object.status);
    if (written && written->target != order.target) {
        written.reset();
    }
    seen_order seen {order, key, object.etag, written, written, m_loop.now(), milliseconds {0}, nullptr};
    const auto before = m_seen.find(order.service);
    if (before == m_seen.end() || !isSameOrder(before->second, seen)) {
        seen.judge = std::make_shared<rollout_judge>(m_exposureShare);
        return seen;
    }
    const auto &known = before->second;
    seen.since = known.since;
    seen.before = known.before;
    seen.judge = known.judge;
    if (known.status && known.status->verdict != rollout_verdict::running) {
        seen.status = known.status;
    }
    return seen;
}

// An order may be withdrawn and given again between two looks; it has no status then. After a return of the store from a copy a
// missing status is one that was lost, and a verdict holds until it was written again.
bool version_board::isSameOrder(const seen_order &known, const seen_order &now)
{
    if (known.order.target != now.order.target) {
        return false;
    }
    const bool lost = known.written != known.status || parseRevision(now.etag).era > parseRevision(known.etag).era;
    return lost || !known.status || (now.written && now.written->order == known.status->order);
}

void version_board::basesChanged()
{
    const auto &objects = m_bases.mirror().objects();
    const auto found = objects.find(basesKey);
    auto recorded = found == objects.end() ? std::nullopt : parseBaseVersions(found->second.value);
    m_recordedVersion = found == objects.end() ? std::string() : found->second.etag;
    if (recorded) {
        m_recorded = std::move(*recorded);
    }
    update();
}

void version_board::update()
{
    setServers(m_servers);
    m_changed();
}

std::map<service_name, rollout_status> version_board::statuses() const
{
    std::map<service_name, rollout_status> all;
    for (const auto &[service, seen] : m_seen) {
        if (seen.status) {
            all.emplace(service, *seen.status);
        }
    }
    return all;
}

void version_board::scheduleBases()
{
    if (m_basesScheduled || !m_bases.following()) {
        return;
    }
    m_basesScheduled = true;
    m_loop.after(basesWriteDelay, [this] {
        m_basesScheduled = false;
        writeBases();
    });
}

// Whoever knows them writes them, on condition of what it has read; a conflict brings the other's object.
void version_board::writeBases()
{
    const auto next = baseVersions(*m_servers, m_recorded, statuses());
    const bool recorded = !m_recordedVersion.empty() && next == m_recorded;
    if (recorded || next.empty() || !m_bases.following() || !m_bases.mirror().known() || !m_orders.mirror().known()) {
        return;
    }
    const auto condition = m_recordedVersion.empty() ? write_condition(if_absent {}) : write_condition(if_version {m_recordedVersion});
    m_store.put(basesKey, baseVersionsText(next), condition, [this](const write_result &result) {
        if (std::holds_alternative<object_written>(result)) {
            DAISYSTILE_LOG(INFO, "rollout") << "Base versions written.";
        }
        scheduleBases();
    });
}

// Deciding.

bool version_board::running() const
{
    return std::any_of(
        m_seen.begin(), m_seen.end(), [](const auto &entry) { return entry.second.status && entry.second.status->verdict == rollout_verdict::running; });
}

void version_board::tick()
{
    m_loop.after(tickInterval, [this] { tick(); });
    if (!m_orders.following()) {
        return;
    }
    scheduleBases();
    if (running()) {
        exchangeCounts();
    } else {
        removeReports();
    }
    for (auto &[service, seen] : m_seen) {
        decide(seen);
    }
}

void version_board::exchangeCounts()
{
    counts_report report;
    for (const auto &[service, seen] : m_seen) {
        report.elapsed[service] = elapsed(seen);
    }
    for (const auto &[daemon, heard] : m_heard) {
        report.daemons.push_back(heard.counts);
    }
    m_store.put(m_reportKey, reportText(report), always {}, [](const write_result &) {});
    m_store.list(reportKeyPrefix, read_freshness::newest, [this](const list_result &result) { reportsRead(result); });
}

void version_board::reportsRead(const list_result &result)
{
    const auto *list = std::get_if<object_list>(&result);
    if (list == nullptr) {
        return;
    }
    m_reports.clear();
    for (const auto &object : list->objects) {
        m_reports.push_back(object.key);
        auto report = parseReport(object.value);
        if (!report || object.key == m_reportKey) {
            continue;
        }
        for (auto &counts : report->daemons) {
            takeCounts(std::move(counts));
        }
        for (const auto &[service, time] : report->elapsed) {
            const auto seen = m_seen.find(service);
            if (seen != m_seen.end() && time > elapsed(seen->second)) {
                seen->second.before += time - elapsed(seen->second);
            }
        }
    }
}

// Also those of daemons that have ended meanwhile. One that still decides writes its own again.
void version_board::removeReports()
{
    for (const auto &key : std::exchange(m_reports, {})) {
        m_store.remove(key, always {}, [](const remove_result &) {});
    }
    m_heard.clear();
}

milliseconds version_board::elapsed(const seen_order &seen) const
{
    return std::chrono::duration_cast<milliseconds>(m_loop.now() - seen.since) + seen.before;
}

bool version_board::targetServes(const seen_order &seen) const
{
    const auto found = m_servers->byService.find(seen.order.service);
    return found != m_servers->byService.end() && std::any_of(found->second.begin(), found->second.end(), [&](const auto &server) {
        return server.software == seen.order.target && !server.draining;
    });
}

rollout_inputs version_board::inputsOf(const seen_order &seen) const
{
    rollout_inputs inputs {*seen.status, seen.order.duration, elapsed(seen), {}, targetServes(seen), 0, std::max<std::size_t>(m_daemons.size(), 1)};
    for (const auto &[daemon, heard] : m_heard) {
        const auto counts = heard.counts.orders.find(seen.order.service);
        if (counts == heard.counts.orders.end() || counts->second.order != seen.status->order) {
            continue;
        }
        merge(inputs.counts, counts->second.routes);
        const bool settled = counts->second.stage == rollout_stage::all && counts->second.runningOnBase == 0;
        inputs.settledDaemons += settled && m_loop.now() - heard.at < maxReportAge ? 1 : 0;
    }
    return inputs;
}

void version_board::decide(seen_order &seen)
{
    if (!seen.status) {
        // The version of the order as it was read names it, so that two daemons that begin it name it alike.
        write(seen, {{seen.order.target, rollout_verdict::running, rollout_stage::trial, seen.etag}, std::nullopt}, {});
        return;
    }
    if (seen.status->verdict != rollout_verdict::running) {
        if (seen.written != seen.status) {
            write(seen, {*seen.status, std::nullopt}, {});
        }
        return;
    }
    const auto inputs = inputsOf(seen);
    if (const auto change = seen.judge->decide(inputs, m_loop.now())) {
        write(seen, *change, inputs);
    }
}

void version_board::write(const seen_order &seen, const rollout_change &change, const rollout_inputs &inputs)
{
    const auto sums = sumOf(inputs.counts);
    const auto fault = change.fault.value_or(version_fault {});
    m_store.putStatus(seen.key,
        rolloutStatusText(change.status),
        if_version {seen.etag},
        [service = seen.order.service, change, inputs, sums, fault, time = elapsed(seen)](const write_result &result) {
            if (!std::holds_alternative<object_written>(result)) {
                return;
            }
            DAISYSTILE_LOG(INFO, "rollout") << "Order decided." << field("service", service.value) << field("target", change.status.target.value)
                                            << field("state", textOf(change.status.verdict)) << field("stage", static_cast<unsigned>(change.status.stage))
                                            << field("elapsed_ms", time.count()) << field("answers", sums.target.answers)
                                            << field("failures", sums.target.failures) << field("base_answers", sums.base.answers)
                                            << field("base_failures", sums.base.failures)
                                            << field("fault",
                                                   !change.fault    ? "none"
                                                       : fault.slow ? "slow"
                                                                    : "failures")
                                            << field("route", fault.route.value) << field("bad", fault.bad) << field("of", fault.answers)
                                            << field("base_bad", fault.baseBad) << field("base_of", fault.baseAnswers)
                                            << field("settled", inputs.settledDaemons) << field("daemons", inputs.daemons);
        });
}

} // namespace daisystile
