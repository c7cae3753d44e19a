#pragma once

#include "crash_guard.h"

#include <functional>
#include <memory>

namespace daisystile {

/// One daemon's part in guarding servers against requests that crash them: asks the keeper of each request's record,
/// keeps the record of those that fall to it, and knows all quarantined requests. Belongs to one reactor's thread.
class request_guard
{
public:
    using send_function = std::function<bool(const daemon_id &, const peer_message &)>;
    using verdict_callback = std::function<void(guard_verdict)>;

    request_guard(reactor &loop, daemon_id self, send_function send, metrics &figures);
    ~request_guard();
    request_guard(const request_guard &) = delete;
    request_guard &operator=(const request_guard &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);

    bool isQuarantined(fingerprint request) const;
    /// True when the request ran well a short while ago.
    bool isClear(fingerprint request) const;

    /// Asks whether a request may run or be tried again. The last verdict is never wait; it comes later, and when no
    /// keeper can be reached it is the careful one. Nothing comes once the query's time is over.
    void ask(const guard_question &question, verdict_callback done);
    /// Tells how a trial went.
    void tell(const guard_question &question);

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
