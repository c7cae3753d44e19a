#pragma once

#include "request_guard.h"
#include "search_types.h"

#include <memory>

namespace daisystile {

/// Runs queries: pins the snapshot and shard map, fans out to the owners of the servers and merges the results.
/// Must be used on the reactor's thread only.
class coordinator
{
public:
    struct identity
    {
        daemon_id id;
        incarnation incarnationNumber;
    };

    /// Sends shard requests. searchHere and cancelHere are used for servers that this daemon owns.
    struct transport
    {
        /// Returns false if the message is certain not to be sent.
        std::function<bool(const daemon_id &, const peer_message &)> send;
        std::function<void(search_batch)> searchHere;
        std::function<void(cancel_batch)> cancelHere;
    };

    struct policies
    {
        hedge_policy hedging = hedge_policy::quantile;
        ownership_policy ownership = ownership_policy::owner_per_server;
        trial_policy trials = trial_policy::new_requests;
    };

    coordinator(reactor &loop, identity self, transport out, policies chosen, metrics &metricRegistry);
    ~coordinator();
    coordinator(const coordinator &) = delete;
    coordinator &operator=(const coordinator &) = delete;

    /// Sets the newest view and the server owners that follow from it.
    void setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners);

    /// Calls back once before the wait ends. Returns false without a callback if the service has no shards here.
    bool search(search_request request, search_callback done);
    /// Handles an owner's answer from a peer or from this daemon.
    void receive(shard_answer answer);
    void peerLost(const peer_loss &loss);
    /// Handles messages about requests that crash servers, and lists and lifts quarantines.
    request_guard &guard();

    std::size_t openQueries() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
