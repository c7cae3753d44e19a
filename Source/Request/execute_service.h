#pragma once

#include "callers_api.h"
#include "execute_launcher.h"
#include "journal_manager.h"

namespace daisystile {

/// Runs execute requests at most once: passes them from the caller to the owner of the key's journal and from there
/// to a server.
class execute_service
{
public:
    struct transport
    {
        /// Returns false if the message is certain not to be sent.
        std::function<bool(const daemon_id &, const peer_message &)> send;
        /// Runs a request on a server that this daemon owns.
        std::function<void(execute_request)> runHere;
    };

    execute_service(reactor &loop, platform_client &platform, const peer_identity &self, transport out);
    ~execute_service();
    execute_service(const execute_service &) = delete;
    execute_service &operator=(const execute_service &) = delete;

    void setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners);
    /// Handles a caller's request; responds once before its wait ends.
    void submit(execute_submission submission, http_responder respond);
    /// Handles a request that a coordinator sent to this daemon as the owner of the key's journal.
    void receive(const daemon_id &from, const execute_request &request);
    void receive(const execute_answer &answer);
    void peerLost(const peer_loss &loss);
    /// Releases the journals; idle() returns true once that is done.
    void leave();
    bool idle() const;

private:
    struct caller_request
    {
        execute_submission submission;
        http_responder respond;
        monotonic_time deadline;
        std::uint64_t number = 0;
        daemon_id owner;
        timer_id timer = 0;
        timer_id retry = 0;
    };
    using shared_caller = std::shared_ptr<caller_request>;
    struct claimed_body
    {
        claimed_request request;
        /// Number of journal requests that wait for an answer.
        std::size_t waiters = 0;
        bool running = false;
    };

    void sendToJournalOwner(const shared_caller &caller);
    void scheduleRetry(const shared_caller &caller);
    void answered(const shared_caller &caller, run_outcome outcome, attempt_failure failure, const std::string &body);
    void finish(const shared_caller &caller, const http_response &response);
    void askLocalJournal(const execute_request &request, std::function<void(execute_answer)> callback);
    void start(const start_run &run);
    void ended(const run_reported &report);
    void eraseUnused(const claim_key &key);
    query_reference nextReference();

    reactor &m_loop;
    peer_identity m_self;
    transport m_out;
    journal_manager m_journals;
    execute_launcher m_launcher;
    std::shared_ptr<const fleet_view> m_view = std::make_shared<const fleet_view>();
    std::unordered_map<std::uint64_t, shared_caller> m_callers;
    /// Bodies of requests that wait for their claims or are running.
    std::map<claim_key, claimed_body> m_claimed;
    std::uint64_t m_nextNumber = 1;
    std::optional<monotonic_time> m_leaveUntil;
};

/// Returns the response to a caller: status 200 with the result, or a problem with the outcome not_run or unknown.
http_response executeResponse(run_outcome outcome, attempt_failure failure, const std::string &body);

} // namespace daisystile
