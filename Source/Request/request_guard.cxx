#include "request_guard.h"

#include "cleared_requests.h"
#include "keeper_choice.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace daisystile {

// Number of keepers asked in turn before a daemon decides on its own.
static constexpr std::size_t keepersAsked = 2;
static constexpr milliseconds keeperTimeout {100};
static constexpr milliseconds tickInterval {200};
// Number of daemons per failure domain that relay a notice. With two, the loss of one doesn't withhold it from the
// rest of the domain.
static constexpr std::size_t relaysPerDomain = 2;

namespace {

// A question without a final verdict.
struct pending_question
{
    guard_question question;
    std::vector<daemon_id> keepers;
    std::size_t asked = 0;
    timer_id timer = 0;
    request_guard::verdict_callback done;
};

struct question_key
{
    query_number query;
    guard_report report;
    shard_index shard;

    bool operator==(const question_key &) const = default;
};

struct question_key_hash
{
    std::size_t operator()(const question_key &key) const
    {
        return std::hash<std::uint64_t> {}(key.query.value * 31 + key.shard.value * 4 + static_cast<std::uint64_t>(key.report));
    }
};

struct quarantine_entry
{
    service_name service;
    monotonic_time until;
};

} // namespace

struct request_guard::implementation
{
    implementation(reactor &eventLoop, daemon_id own, send_function sendFunction, metrics &registry)
        : loop(eventLoop),
          self(std::move(own)),
          send(std::move(sendFunction)),
          quarantines(registry.counter("daisystile_quarantines_total", "Requests that this daemon, as their keeper, quarantined.")),
          trials(registry.counter("daisystile_request_trials_total", "Requests that were tried on one shard first.")),
          unreachable(registry.counter("daisystile_guard_unreachable_total", "Questions that no keeper answered in time."))
    {
    }

    void ask(const guard_question &question, verdict_callback done)
    {
        const question_key key {question.query.query, question.report, question.shard};
        auto &entry = pending[key];
        loop.cancelTimer(entry.timer);
        entry = {.question = question, .keepers = keepersOf(question.request), .done = std::move(done)};
        askNext(key);
    }

    std::vector<daemon_id> keepersOf(fingerprint request) const
    {
        std::vector<daemon_id> keepers;
        for (const auto *keeper : chooseKeepers(request.value, regionOfSelf(), view->members, keepersAsked)) {
            keepers.push_back(keeper->id);
        }
        return keepers;
    }

    region_name regionOfSelf() const
    {
        const auto found = std::find_if(view->members.begin(), view->members.end(), [this](const member &entry) { return entry.id == self; });
        return found == view->members.end() ? region_name {} : found->region;
    }

    void askNext(const question_key &key)
    {
        const auto found = pending.find(key);
        if (found == pending.end()) {
            return;
        }
        auto &entry = found->second;
        if (entry.asked >= entry.keepers.size()) {
            unreachable.add();
            // Without a keeper, a new request is tried on one shard, and a shard that lost a server is not retried.
            finish(key, entry.question.report == guard_report::run_requested ? guard_verdict::try_one : guard_verdict::give_up);
            return;
        }
        const auto keeper = entry.keepers[entry.asked];
        entry.asked += 1;
        entry.timer = loop.after(keeperTimeout, [this, key] { askNext(key); });
        const auto question = entry.question;
        deliver(keeper, question);
    }

    void deliver(const daemon_id &keeper, const guard_question &question)
    {
        if (keeper == self) {
            decideAndSend(question);
        } else {
            send(keeper, question);
        }
    }

    void finish(const question_key &key, guard_verdict verdict)
    {
        const auto found = pending.find(key);
        loop.cancelTimer(found->second.timer);
        const auto done = std::move(found->second.done);
        const auto request = found->second.question.request;
        pending.erase(found);
        if (verdict == guard_verdict::clear) {
            clear.add(request, loop.now() + clearDuration);
        }
        trials.add(verdict == guard_verdict::try_one ? 1 : 0);
        done(verdict);
    }

    void answered(const guard_answer &answer)
    {
        const question_key key {answer.query.query, answer.report, answer.shard};
        const auto found = pending.find(key);
        if (found == pending.end() || found->second.question.request != answer.request || found->second.question.query != answer.query) {
            return;
        }
        if (answer.verdict != guard_verdict::wait) {
            finish(key, answer.verdict);
            return;
        }
        auto &entry = found->second;
        loop.cancelTimer(entry.timer);
        entry.timer = loop.after(milliseconds {entry.question.deadlineMs}, [this, key] { pending.erase(key); });
    }

    void decideAndSend(const guard_event &event)
    {
        std::vector<guard_action> actions;
        decide(state, event, loop.now(), actions);
        if (timer == 0 && !state.onTrial.empty()) {
            timer = loop.after(tickInterval, [this] {
                timer = 0;
                decideAndSend(guard_tick {});
            });
        }
        for (const auto &action : actions) {
            if (const auto *answer = std::get_if<guard_answer>(&action)) {
                sendAnswer(*answer);
            } else if (const auto *start = std::get_if<start_quarantine>(&action)) {
                quarantines.add();
                DAISYSTILE_LOG(WARNING, "guard") << "Request quarantined." << field("service", start->service.value) << field("request", start->request.value);
                broadcast({start->service, start->request, static_cast<std::uint32_t>(milliseconds(quarantineDuration).count()), true});
            }
        }
    }

    void sendAnswer(const guard_answer &answer)
    {
        if (answer.query.coordinator == self) {
            // Delivered asynchronously, like an answer from a peer.
            loop.post([this, alive = std::weak_ptr<bool>(lifetime), answer] {
                if (!alive.expired()) {
                    answered(answer);
                }
            });
        } else {
            send(answer.query.coordinator, answer);
        }
    }

    // Sends a notice to some daemons of each failure domain, which relay it within their domain.
    void broadcast(const quarantine_notice &notice)
    {
        std::set<failure_domain_name> domains;
        for (const auto &entry : view->members) {
            domains.insert(entry.domain);
        }
        for (const auto &domain : domains) {
            for (const auto *relay : chooseInDomain(notice.request.value, domain, view->members, relaysPerDomain)) {
                if (relay->id != self) {
                    send(relay->id, notice);
                }
            }
        }
        applyNotice(notice);
    }

    void applyNotice(const quarantine_notice &notice)
    {
        if (notice.leftMs == 0) {
            quarantinedRequests.erase(notice.request);
            decideAndSend(quarantine_lifted {notice.request});
        } else {
            std::erase_if(
                quarantinedRequests, [this](const auto &entry) { return entry.second.until <= loop.now() || quarantinedRequests.size() > maxQuarantined; });
            quarantinedRequests[notice.request] = {notice.service, loop.now() + milliseconds {notice.leftMs}};
            clear.remove(notice.request);
        }
        if (notice.relay) {
            relayInDomain(notice);
        }
    }

    void relayInDomain(const quarantine_notice &notice)
    {
        const auto own = std::find_if(view->members.begin(), view->members.end(), [this](const member &entry) { return entry.id == self; });
        if (own == view->members.end()) {
            return;
        }
        auto last = notice;
        last.relay = false;
        for (const auto &entry : view->members) {
            if (entry.domain == own->domain && entry.id != self && entry.state != member_state::dead) {
                send(entry.id, last);
            }
        }
    }

    static constexpr std::size_t maxQuarantined = 10'000;

    reactor &loop;
    daemon_id self;
    send_function send;
    metric_counter quarantines;
    metric_counter trials;
    metric_counter unreachable;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    guard_state state;
    cleared_requests clear;
    std::unordered_map<fingerprint, quarantine_entry> quarantinedRequests;
    std::unordered_map<question_key, pending_question, question_key_hash> pending;
    timer_id timer = 0;
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

request_guard::request_guard(reactor &loop, daemon_id self, send_function send, metrics &metricRegistry)
    : m_implementation(std::make_unique<implementation>(loop, std::move(self), std::move(send), metricRegistry))
{
}

request_guard::~request_guard()
{
    m_implementation->loop.cancelTimer(m_implementation->timer);
    for (const auto &[key, entry] : m_implementation->pending) {
        m_implementation->loop.cancelTimer(entry.timer);
    }
}

void request_guard::setView(std::shared_ptr<const fleet_view> view)
{
    m_implementation->view = std::move(view);
}

bool request_guard::isQuarantined(fingerprint request) const
{
    const auto found = m_implementation->quarantinedRequests.find(request);
    return found != m_implementation->quarantinedRequests.end() && m_implementation->loop.now() < found->second.until;
}

bool request_guard::isClear(fingerprint request) const
{
    return m_implementation->clear.contains(request, m_implementation->loop.now());
}

void request_guard::ask(const guard_question &question, verdict_callback done)
{
    if (question.report == guard_report::crashed) {
        m_implementation->clear.remove(question.request);
    }
    m_implementation->ask(question, std::move(done));
}

void request_guard::reportTrial(const guard_question &question)
{
    if (question.report == guard_report::passed) {
        m_implementation->clear.add(question.request, m_implementation->loop.now() + clearDuration);
    }
    for (const auto &keeper : m_implementation->keepersOf(question.request)) {
        m_implementation->deliver(keeper, question);
    }
}

void request_guard::receive(const daemon_id &from, const guard_question &question)
{
    if (from == question.query.coordinator) {
        m_implementation->decideAndSend(question);
    }
}

void request_guard::receive(const guard_answer &answer)
{
    m_implementation->answered(answer);
}

void request_guard::receive(const quarantine_notice &notice)
{
    m_implementation->applyNotice(notice);
}

std::vector<quarantined_request> request_guard::quarantined() const
{
    std::vector<quarantined_request> all;
    for (const auto &[request, entry] : m_implementation->quarantinedRequests) {
        if (m_implementation->loop.now() < entry.until) {
            all.push_back({request, entry.service, entry.until});
        }
    }
    return all;
}

void request_guard::lift(const service_name &service, fingerprint request)
{
    m_implementation->broadcast({service, request, 0, true});
}

} // namespace daisystile
