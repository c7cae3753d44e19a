#pragma once

#include "account_figures.h"
#include "backend_pool.h"
#include "coordinator_table.h"
#include "delegation_client.h"
#include "entry_settings.h"
#include "forward_metrics.h"
#include "key_refusal_log.h"
#include "quota_client.h"
#include "quota_keeper.h"
#include "retry_budgets.h"
#include "routing_snapshot.h"
#include "running_request.h"
#include "suspect_guard.h"
#include "version_gate.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace daisystile {

/// Sends clients' requests to backend servers and collects their answers. Used on the traffic thread only.
class forwarder
{
public:
    forwarder(reactor &loop, const entry_settings &settings, metrics &registry);

    void update(const std::shared_ptr<const routing_snapshot> &view);
    const std::shared_ptr<const routing_snapshot> &view() const;
    void setBounds(const fleet_bounds &bounds);
    /// The configuration in force was the newest one when the store was asked at this time.
    void setConfigurationNewestAt(monotonic_time askedAt);
    quota_keeper &quotaKeeper();
    quota_client &quotas();
    /// Requests in quarantine, with its remaining time.
    std::vector<std::pair<suspect_record, milliseconds>> quarantined() const;
    /// An operator lifts the quarantine of a request, on all daemons. False if it isn't known.
    bool liftQuarantine(const request_digest &request);
    /// Called with what this daemon has to tell the others about suspected requests, whenever that changes.
    void onSuspectsChanged(std::function<void(std::vector<suspect_record>)> share);

    /// Called with what was counted of versions, again and again while an order runs.
    void onVersionsCounted(std::function<void(const daemon_counts &)> report);
    /// The rules for versions were known to be current at this time.
    void setVersionsHeardAt(monotonic_time heardAt);

    /// Calls the callback once, possibly before returning, unless the client leaves first. Returns 0 if it was already called.
    request_number submit(request_message message, const client_request_head &head, std::function<void(client_reply)> reply);
    /// The same for a query that another daemon has delegated to this one.
    request_number
    submitDelegated(request_message message, const client_request_head &head, const delegated_terms &terms, std::function<void(client_reply)> reply);
    /// Cancels a request whose client has disconnected.
    void clientLeft(request_number request);
    /// What is held for clients. Holders outside must be destroyed before the forwarder.
    memory_account &memory();
    /// False while too much is held for clients to run another request.
    bool mayStart() const;

private:
    /// A part for which no server was found and that is about to be enqueued.
    struct unplaced_part
    {
        service_name service;
        urgency_rank urgency;
        waiting_part waiting;
    };

    using request_pointer = std::shared_ptr<running_request>;

    /// Null after the request was answered because there is no route for it.
    request_pointer makeRequest(request_message message, const client_request_head &head, std::function<void(client_reply)> reply);
    account_demand demandOf(const running_request &request);
    /// False if the request was refused because of its key.
    bool authorizeClient(const request_pointer &request);
    void refuseKey(const request_pointer &request, key_refusal reason);
    /// Starts the request once there is a token of its account's quota.
    request_number startWithinQuota(const request_pointer &request);
    /// Returns whether the token is used.
    bool quotaDecided(const request_pointer &request, const quota_outcome &outcome);
    request_number start(const request_pointer &request);
    /// Refuses a request that is quarantined for the time left.
    void refuseQuarantined(const request_pointer &request, milliseconds left);
    void resumeHeld(const suspect_guard::held_part &part);
    /// Delegates a query to a coordinator of the own failure domain if this daemon is none and one is available.
    bool delegateQuery(const request_pointer &request);
    /// Delegates the parts without a backend server in the own failure domain to coordinators of other domains.
    void delegateParts(const request_pointer &request);
    void partsEnded(const request_pointer &request, const std::vector<part_index> &parts, delegation_outcome outcome);
    void delegationEnded(const request_pointer &request, const daemon_id &delegate, delegation_outcome outcome);
    void runHere(const request_pointer &request);
    /// False if the request was refused because it could not be answered in time.
    bool admit(const request_pointer &request);
    void step(const request_pointer &request, const forward_event &event);
    void perform(const request_pointer &request, const forward_action &action, std::deque<forward_event> &events);
    forward_event startAttempt(const request_pointer &request, const start_attempt &action);
    static void addForecastWait(running_request &request, monotonic_time availableFrom, monotonic_time now);
    forward_event waitForServer(running_request &request, const start_attempt &action);
    backend *chooseServer(const request_part &part, const admitted_versions &versions, microseconds typicalLatency);
    void reportVersions();
    void updateCapacity();
    void openDelegateLinks();
    void updateGauges();
    void countNotice(const server_notice &notice);
    void countLimitChange(limit_change change);
    bool allowed(const running_request &request, const start_attempt &action);
    void schedule(const request_pointer &request);
    void answer(const request_pointer &request);
    void fail(const request_pointer &request, forward_failure failure);
    void failDelegated(const request_pointer &request);
    void finish(const request_pointer &request, client_reply reply);
    /// Ends a request without a reply; its attempts may continue for the grace time.
    void release(running_request &request, milliseconds grace);
    void abandonAttempts(running_request &request, milliseconds grace);
    void checkingEnd(attempt_id attempt);
    void attemptEnded(attempt_result result);
    attempt_end evaluateAttempt(const running_attempt &attempt, attempt_id id, exchange_result &exchange);
    /// Starts queued parts of the service as far as it has capacity.
    void wake(const service_name &service);
    void wakeAll();
    /// Enqueues the parts that found no server, unless a wake() is still in progress.
    void enqueueUnplaced();
    void scheduleWake();
    route_latency &latencyOf(const route &matchedRoute);
    retry_budget &budgetFor(const service_name &service);

    reactor &m_loop;
    entry_settings m_settings;
    // Declared before all that holds memory for clients.
    memory_account m_memory;
    std::shared_ptr<const routing_snapshot> m_view = std::make_shared<routing_snapshot>();
    forward_metrics m_metrics;
    backend_pool m_pool;
    coordinator_table m_coordinators;
    std::optional<monotonic_time> m_configurationNewestAt;
    key_refusal_log m_keyRefusals;
    account_figures m_accounts;
    quota_keeper m_quotaKeeper;
    quota_client m_quotas;
    retry_budgets m_budgets;
    delegation_client m_delegations;
    version_gate m_versions;
    std::function<void(const daemon_counts &)> m_versionsCounted = [](const auto &) {
    };
    bool m_reportingVersions = false;
    std::function<void(std::vector<suspect_record>)> m_shareSuspects = [](const auto &) {
    };
    suspect_guard m_guard;
    std::unordered_map<request_number, request_pointer> m_requests;
    std::unordered_map<attempt_id, running_attempt> m_attempts;
    work_queue m_queue;
    std::vector<unplaced_part> m_unplaced;
    unsigned m_waking = 0;
    bool m_wakeScheduled = false;
    std::map<route_name, route_latency> m_latencies;
    std::map<route_name, weighted_round_robin> m_roundRobins;
    request_number m_nextRequest = 1;
    std::minstd_rand m_random;
};

} // namespace daisystile
