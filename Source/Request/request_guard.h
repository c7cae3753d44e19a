#pragma once

#include "crash_guard.h"

#include <functional>
#include <memory>

namespace daisystile {

/// Protects servers from requests that crash them. Asks the keeper of each request's record for a verdict, keeps the
/// records assigned to this daemon and tracks all quarantined requests. Must be used on the reactor's thread only.
class request_guard
{
public:
    using send_function = std::function<bool(const daemon_id &, const peer_message &)>;
    using verdict_callback = std::function<void(guard_verdict)>;

    request_guard(reactor &loop, daemon_id self, send_function send, metrics &metricRegistry);
    ~request_guard();
    request_guard(const request_guard &) = delete;
    request_guard &operator=(const request_guard &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);

    bool isQuarantined(fingerprint request) const;
    /// Returns true if the request ran successfully within the last clearDuration.
    bool isClear(fingerprint request) const;

    /// Asks whether a request may run or be retried. The callback never receives wait: the final verdict follows
    /// later. If no keeper can be reached, the most restrictive safe verdict is used. After the query's deadline
    /// there is no callback.
    void ask(const guard_question &question, verdict_callback done);
    /// Reports the result of a trial to the keepers.
    void reportTrial(const guard_question &question);

    void receive(const daemon_id &from, const guard_question &question);
    void receive(const guard_answer &answer);
    void receive(const quarantine_notice &notice);

    /// For operators.
    std::vector<quarantined_request> quarantined() const;
    void lift(const service_name &service, fingerprint request);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
