#pragma once

#include "request_guard.h"
#include "search_types.h"

#include <memory>

namespace daisystile {

/// Runs queries: pins, fans out to the owners of the servers, merges. Belongs to one reactor's thread.
class coordinator
{
public:
    struct identity
    {
        daemon_id id;
        incarnation life;
    };

    /// How shard requests leave. The local ones serve servers that this daemon owns itself.
    struct transport
    {
        /// False when the message certainly does not leave.
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

    coordinator(reactor &loop, identity self, transport out, policies chosen, metrics &figures);
    ~coordinator();
    coordinator(const coordinator &) = delete;
    coordinator &operator=(const coordinator &) = delete;

    /// Takes the newest view and the owners under it.
    void setView(std::shared_ptr<const fleet_view> view, std::shared_ptr<const owner_map> owners);

    /// Answers once, by the callback, before the wait ends. False, and no callback, when the service has no shards here.
    bool search(search_request request, search_callback done);
    /// An owner's answer, from a peer or from this daemon.
    void receive(shard_answer answer);
    void peerLost(const peer_loss &loss);
    /// Takes the messages about requests that crash servers, and lists and lifts quarantines.
    request_guard &guard();

    std::size_t openQueries() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
