#include "execute_launcher.h"

#include <algorithm>

namespace daisystile {

static constexpr std::uint32_t maxAttempts = 4;
// Time to wait for an answer beyond the deadline given to the server.
static constexpr milliseconds answerGrace {100};

execute_launcher::execute_launcher(reactor &loop, callbacks notify)
    : m_loop(loop),
      m_notify(std::move(notify))
{
}

execute_launcher::~execute_launcher()
{
    for (const auto &[number, run] : m_runs) {
        m_loop.cancelTimer(run->timer);
    }
}

void execute_launcher::setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners)
{
    m_view = std::move(view);
    m_owners = std::move(owners);
}

void execute_launcher::launch(claimed_request request)
{
    const auto run = std::make_shared<running_request>();
    run->request = std::move(request);
    tryNext(run);
}

const backend_server *execute_launcher::chooseServer(const running_request &run)
{
    const auto &config = *m_view->config;
    const auto service = config.services.find(run.request.key.service);
    if (service == config.services.end()) {
        return nullptr;
    }
    const auto &servers = service->second->servers;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto &server = servers[(m_nextServer + i) % servers.size()];
        const auto domain = config.domains.find(server.domain);
        const bool out = domain != config.domains.end() && domain->second.out;
        const bool tried = std::find(run.tried.begin(), run.tried.end(), server.id) != run.tried.end();
        if (!out && !tried && m_owners->ownerOf(server.id) != nullptr) {
            m_nextServer += i + 1;
            return &server;
        }
    }
    return nullptr;
}

void execute_launcher::tryNext(const shared_run &run)
{
    const auto remainingTime = timeLeft(m_loop.now(), run->request.deadline);
    const auto *server = remainingTime.count() == 0 || run->attempts == maxAttempts ? nullptr : chooseServer(*run);
    if (server == nullptr) {
        finish(run, run_outcome::not_run, remainingTime.count() == 0 ? attempt_failure::too_late : run->lastFailure, {});
        return;
    }
    run->attempts += 1;
    run->tried.push_back(server->id);
    run->reference = m_notify.nextReference();
    run->owner = m_owners->ownerOf(server->id)->id;
    m_runs[run->reference.query.value] = run;
    run->timer = m_loop.after(remainingTime + answerGrace, [this, run] { finish(run, run_outcome::unknown, attempt_failure::timed_out, {}); });
    const auto &request = run->request;
    const auto deadlineMs = static_cast<std::uint32_t>(remainingTime.count());
    const bool sent = m_notify.send(run->owner,
        {run->reference, request.key.service, request.key.customer, request.rank, request.key.key, request.request, deadlineMs, server->id, request.body});
    if (!sent) {
        retryOnAnotherServer(run, attempt_failure::peer_lost);
    }
}

void execute_launcher::retryOnAnotherServer(const shared_run &run, attempt_failure failure)
{
    m_loop.cancelTimer(run->timer);
    m_runs.erase(run->reference.query.value);
    run->lastFailure = failure;
    tryNext(run);
}

void execute_launcher::finish(const shared_run &run, run_outcome outcome, attempt_failure failure, std::string body)
{
    m_loop.cancelTimer(run->timer);
    m_runs.erase(run->reference.query.value);
    m_notify.report({run->request.key, outcome, failure, std::move(body)});
}

bool execute_launcher::receive(const execute_answer &answer)
{
    const auto found = m_runs.find(answer.query.query.value);
    if (found == m_runs.end()) {
        return false;
    }
    const auto run = found->second;
    if (answer.outcome == run_outcome::not_run) {
        retryOnAnotherServer(run, answer.failure);
    } else {
        finish(run, answer.outcome, answer.failure, answer.body);
    }
    return true;
}

void execute_launcher::peerLost(const peer_loss &loss)
{
    std::vector<shared_run> lost;
    for (const auto &[number, run] : m_runs) {
        if (run->owner == loss.id) {
            lost.push_back(run);
        }
    }
    for (const auto &run : lost) {
        // Without an established link no message was delivered, so the request has not run.
        if (loss.neverEstablished) {
            retryOnAnotherServer(run, attempt_failure::peer_lost);
        } else {
            finish(run, run_outcome::unknown, attempt_failure::peer_lost, {});
        }
    }
}

} // namespace daisystile
