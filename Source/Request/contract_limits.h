#pragma once

#include "contract_gate.h"
#include "share_book.h"

#include <functional>
#include <memory>

namespace daisystile {

/// Why a request may not run now.
struct admission_refusal
{
    gate_verdict reason = gate_verdict::over_rate;
    seconds retryAfter {1};
};

/// Nothing when the request is let in.
using admission_callback = std::function<void(std::optional<admission_refusal>)>;

/// Holds all customers to their contracts at one daemon and moves shares of them to where the requests come.
/// Belongs to one reactor's thread.
class contract_limits
{
public:
    using send_function = std::function<bool(const daemon_id &, const peer_message &)>;

    contract_limits(reactor &loop, daemon_id self, send_function send, metrics &figures);
    ~contract_limits();
    contract_limits(const contract_limits &) = delete;
    contract_limits &operator=(const contract_limits &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);

    /// False while this daemon's former life may still have lent its part of the contracts.
    bool settled() const;

    /// Calls back at once or, while the share is fetched, within a part of the wait. Each request let in must be released.
    void admit(const std::shared_ptr<const contract> &terms, milliseconds wait, admission_callback done);
    void release(const customer_id &customer);

    void receive(const daemon_id &from, const share_report &report);
    void receive(const daemon_id &from, const share_grant &grant);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
