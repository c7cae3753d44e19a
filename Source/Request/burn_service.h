#pragma once

#include "burn_report.h"

#include <functional>
#include <memory>

namespace daisystile {

/// Requests slices from all daemons and merges them into a report; answers such requests of other daemons.
/// Must be used on the thread of the peer links.
class burn_service
{
public:
    using send_function = std::function<bool(const daemon_id &, const peer_message &)>;

    burn_service(reactor &loop, daemon_id self, send_function send);
    ~burn_service();
    burn_service(const burn_service &) = delete;
    burn_service &operator=(const burn_service &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    /// Records the outcome of a request against the objective of its contract.
    void recordRequest(const completed_request &request, const contract &terms);

    void receive(const daemon_id &from, const burn_request &request);
    void receive(const daemon_id &from, const burn_reply &reply);
    void peerLost(const peer_loss &loss);

    /// Calls back once, when all daemons have answered or the reply timeout has passed.
    void report(std::function<void(burn_report)> done);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
