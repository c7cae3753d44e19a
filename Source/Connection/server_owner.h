#pragma once

#include "peer_messages.h"
#include "slot_manager.h"

#include <functional>
#include <map>
#include <memory>

namespace daisystile {

/// Runs shard requests on the backend servers whose leases this daemon holds. Keeps the slots of these servers and the
/// attempts that have not been answered yet. Used on the traffic thread only.
class server_owner
{
public:
    using answer_sink = std::function<void(const daemon_id &, shard_answer)>;

    /// Called when no request is running any more on a server that this daemon stops serving.
    using idle_callback = std::function<void(server_idle)>;

    server_owner(reactor &loop, ownership_policy policy, answer_sink sink, idle_callback idle);

    void setView(std::shared_ptr<const fleet_view> view);
    void change(const lease_change &change);

    /// Each attempt is answered exactly once through the sink. A repeat of an attempt that is still open is ignored.
    void search(const daemon_id &coordinator, const search_batch &batch);
    /// Running attempts are cancelled at the server; they are still answered, as cancelled.
    void cancel(const cancel_batch &batch);
    std::size_t openAttempts() const;

    /// The slots of the servers. Execute requests to the same servers take their slots from here, too.
    slot_manager &slots();

private:
    struct open_attempt
    {
        daemon_id coordinator;
        std::shared_ptr<const search_batch> batch;
        shard_attempt attempt;
        monotonic_time deadline;
        slot_ticket_id ticket = 0;
        bool sent = false;
        ip_address server;
    };

    void admit(open_attempt attempt);
    void send(const std::string &requestId, slot_ticket_id ticket, const backend_server &server);
    void finish(const std::string &requestId, http_result result);
    void answer(const open_attempt &attempt, shard_answer answer);
    void refuse(const std::string &requestId, attempt_failure failure);
    void sendCancel(const open_attempt &attempt, const std::string &requestId, std::function<void()> done);

    reactor &m_loop;
    answer_sink m_sink;
    http_client m_http;
    slot_manager m_slots;
    std::map<std::string, open_attempt> m_open;
};

} // namespace daisystile
