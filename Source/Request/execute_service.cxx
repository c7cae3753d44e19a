#include "execute_service.h"

#include <algorithm>

namespace daisystile {

static constexpr milliseconds retryDelay {200};
// The journal's owner must answer this long before the caller's deadline.
static constexpr milliseconds answerMargin {20};
// A journal that can't be released in this time, for example in a platform outage, is taken over like that of a lost
// daemon.
static constexpr milliseconds maxReleaseTime {1500};
// Used for a customer whose contract is not known here yet.
static constexpr seconds defaultRetention {3600};

execute_service::execute_service(reactor &loop, platform_client &platform, const peer_identity &self, transport out)
    : m_loop(loop),
      m_self(self),
      m_out(std::move(out)),
      m_journals(loop, platform, self, [this](const start_run &run) { start(run); }),
      m_launcher(loop,
          {[this](const daemon_id &to, execute_request request) {
               if (to != m_self.id) {
                   return m_out.send(to, request);
               }
               m_loop.post([this, request = std::move(request)] { m_out.runHere(request); });
               return true;
           },
              [this](const run_reported &report) { ended(report); },
              [this] {
                  return nextReference();
              }})
{
}

execute_service::~execute_service()
{
    for (const auto &[number, caller] : m_callers) {
        m_loop.cancelTimer(caller->timer);
        m_loop.cancelTimer(caller->retry);
    }
}

query_reference execute_service::nextReference()
{
    return {m_self.id, m_self.incarnationNumber, {m_nextNumber++}};
}

void execute_service::setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners)
{
    m_view = view;
    m_launcher.setView(view, std::move(owners));
    m_journals.setView(std::move(view));
}

void execute_service::submit(execute_submission submission, http_responder respond)
{
    const auto caller = std::make_shared<caller_request>();
    caller->deadline = m_loop.now() + submission.wait;
    caller->submission = std::move(submission);
    caller->respond = std::move(respond);
    const auto wait = timeLeft(m_loop.now(), caller->deadline);
    caller->timer = m_loop.after(wait, [this, caller] { finish(caller, executeResponse(run_outcome::unknown, attempt_failure::timed_out, {})); });
    sendToJournalOwner(caller);
}

// Repeating the request is safe: the journal runs a key at most once, whichever daemon asks.
void execute_service::sendToJournalOwner(const shared_caller &caller)
{
    const auto &submission = caller->submission;
    const claim_key key {submission.terms->customer, submission.service, submission.key};
    const auto *owner = journalOwner(journalPartitionOf(key), m_view->members);
    if (owner == nullptr) {
        scheduleRetry(caller);
        return;
    }
    const auto reference = nextReference();
    m_callers.erase(caller->number);
    caller->number = reference.query.value;
    caller->owner = owner->id;
    m_callers[caller->number] = caller;
    const auto left = timeLeft(m_loop.now(), caller->deadline) - answerMargin;
    const auto deadlineMs = static_cast<std::uint32_t>(std::max<milliseconds::rep>(left.count(), 0));
    const execute_request request {
        reference, submission.service, key.customer, submission.terms->rank, submission.key, submission.request, deadlineMs, {}, submission.body};
    if (owner->id == m_self.id) {
        askLocalJournal(request, [this](const execute_answer &answer) { receive(answer); });
    } else if (!m_out.send(owner->id, request)) {
        scheduleRetry(caller);
    }
}

void execute_service::scheduleRetry(const shared_caller &caller)
{
    if (m_loop.now() + retryDelay + answerMargin < caller->deadline) {
        m_loop.cancelTimer(caller->retry);
        caller->retry = m_loop.after(retryDelay, [this, caller] { sendToJournalOwner(caller); });
    }
}

void execute_service::receive(const daemon_id &from, const execute_request &request)
{
    askLocalJournal(request, [this, from](const execute_answer &answer) { m_out.send(from, answer); });
}

void execute_service::askLocalJournal(const execute_request &request, std::function<void(execute_answer)> callback)
{
    const claim_key key {request.customer, request.service, request.key};
    const auto deadline = m_loop.now() + milliseconds {request.deadlineMs};
    const auto terms = m_view->config->contracts.find(request.customer);
    const auto retention = terms == m_view->config->contracts.end() ? defaultRetention : terms->second->resultRetention;
    auto &claimed = m_claimed[key];
    if (claimed.waiters == 0 && !claimed.running) {
        claimed.request = {key, request.rank, request.request, request.body, deadline};
    }
    claimed.waiters += 1;
    m_journals.submit({0, key, request.request, retention.count(), deadline}, [this, key, reference = request.query, callback](answer_waiter answered) {
        execute_answer answer;
        answer.query = reference;
        answer.outcome = answered.outcome;
        answer.failure = answered.failure;
        answer.body = std::move(answered.body);
        m_claimed[key].waiters -= 1;
        eraseUnused(key);
        callback(std::move(answer));
    });
}

void execute_service::start(const start_run &run)
{
    auto &claimed = m_claimed[run.key];
    claimed.running = true;
    auto request = claimed.request;
    request.deadline = run.deadline;
    m_launcher.launch(std::move(request));
}

void execute_service::ended(const run_reported &report)
{
    m_claimed[report.key].running = false;
    m_journals.reportRun(report);
    eraseUnused(report.key);
}

void execute_service::eraseUnused(const claim_key &key)
{
    const auto found = m_claimed.find(key);
    if (found != m_claimed.end() && found->second.waiters == 0 && !found->second.running) {
        m_claimed.erase(found);
    }
}

void execute_service::receive(const execute_answer &answer)
{
    if (answer.query.coordinator != m_self.id || answer.query.incarnationNumber != m_self.incarnationNumber || m_launcher.receive(answer)) {
        return;
    }
    const auto found = m_callers.find(answer.query.query.value);
    if (found != m_callers.end()) {
        const auto caller = found->second;
        answered(caller, answer.outcome, answer.failure, answer.body);
    }
}

void execute_service::answered(const shared_caller &caller, run_outcome outcome, attempt_failure failure, const std::string &body)
{
    if (outcome == run_outcome::unknown && failure == attempt_failure::not_owner) {
        scheduleRetry(caller);
        return;
    }
    finish(caller, executeResponse(outcome, failure, body));
}

void execute_service::finish(const shared_caller &caller, const http_response &response)
{
    m_loop.cancelTimer(caller->timer);
    m_loop.cancelTimer(caller->retry);
    m_callers.erase(caller->number);
    caller->respond(response);
}

void execute_service::peerLost(const peer_loss &loss)
{
    m_launcher.peerLost(loss);
    for (const auto &[number, caller] : m_callers) {
        if (caller->owner == loss.id) {
            scheduleRetry(caller);
        }
    }
}

void execute_service::leave()
{
    if (!m_leaveUntil) {
        m_leaveUntil = m_loop.now() + maxReleaseTime;
        m_journals.releaseJournals();
    }
}

bool execute_service::idle() const
{
    const bool released = m_journals.idle() || (m_leaveUntil && m_loop.now() >= *m_leaveUntil);
    return m_callers.empty() && m_claimed.empty() && released;
}

} // namespace daisystile
