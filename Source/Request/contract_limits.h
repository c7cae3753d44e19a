#pragma once

#include "contract_gate.h"
#include "contract_share.h"

#include <functional>
#include <memory>

namespace daisystile {

/// Reason for refusing a request.
struct admission_refusal
{
    gate_verdict reason = gate_verdict::over_rate;
    seconds retryAfter {1};
};

/// Called without a refusal if the request is admitted.
using admission_callback = std::function<void(std::optional<admission_refusal>)>;

/// Enforces all customers' contracts at one daemon and moves shares of them to the daemons that receive the requests.
/// Must be used on the reactor's thread only.
class contract_limits
{
public:
    using send_function = std::function<bool(const daemon_id &, const peer_message &)>;

    contract_limits(reactor &loop, daemon_id self, send_function send, metrics &metricRegistry);
    ~contract_limits();
    contract_limits(const contract_limits &) = delete;
    contract_limits &operator=(const contract_limits &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);

    /// Returns false while a previous incarnation of this daemon may still have its home shares on deposit.
    bool homeSharesUsable() const;

    /// Calls back at once or, if a larger share must be requested, within a fraction of the wait. Each admitted
    /// request must be released.
    void admit(const std::shared_ptr<const contract> &terms, milliseconds wait, admission_callback done);
    void release(const customer_id &customer);

    void receive(const daemon_id &from, const share_report &report);
    void receive(const daemon_id &from, const share_grant &grant);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
