#pragma once

#include "claim_journal.h"

#include <functional>
#include <unordered_map>

namespace daisystile {

/// An execute request that is sent to a server once its claim is committed to the journal.
struct claimed_request
{
    claim_key key;
    urgency rank = urgency::normal;
    fingerprint request;
    std::string body;
    monotonic_time deadline;
};

/// Runs claimed requests on any server of their service through the server's owner. Another server is tried only
/// if the request is known not to have run.
class execute_launcher
{
public:
    struct callbacks
    {
        /// Returns false if the message is certain not to be sent.
        std::function<bool(const daemon_id &, execute_request)> send;
        /// Called exactly once per request.
        std::function<void(run_reported)> report;
        std::function<query_reference()> nextReference;
    };

    execute_launcher(reactor &loop, callbacks notify);
    ~execute_launcher();
    execute_launcher(const execute_launcher &) = delete;
    execute_launcher &operator=(const execute_launcher &) = delete;

    void setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners);
    void launch(claimed_request request);
    /// Returns false if the answer does not belong to a running request.
    bool receive(const execute_answer &answer);
    void peerLost(const peer_loss &loss);

private:
    struct running_request
    {
        claimed_request request;
        std::uint32_t attempts = 0;
        daemon_id owner;
        query_reference reference;
        timer_id timer = 0;
        attempt_failure lastFailure = attempt_failure::server_lost;
        std::vector<backend_server_id> tried;
    };
    using shared_run = std::shared_ptr<running_request>;

    void tryNext(const shared_run &run);
    const backend_server *chooseServer(const running_request &run);
    void finish(const shared_run &run, run_outcome outcome, attempt_failure failure, std::string body);
    void retryOnAnotherServer(const shared_run &run, attempt_failure failure);

    reactor &m_loop;
    callbacks m_notify;
    std::shared_ptr<const fleet_view> m_view = std::make_shared<const fleet_view>();
    std::shared_ptr<const owner_map> m_owners = std::make_shared<const owner_map>();
    std::unordered_map<std::uint64_t, shared_run> m_runs;
    /// Round-robin position in the servers of a service; one counter for all services.
    std::size_t m_nextServer = 0;
};

} // namespace daisystile
