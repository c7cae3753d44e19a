#pragma once

#include "client_account.h"

#include <map>

namespace daisystile {

/// What a daemon asks its keeper for.
struct quota_question
{
    /// Requests that have arrived since the question before.
    unsigned arrived = 0;
    /// Tokens that it holds and that haven't expired.
    unsigned held = 0;
    /// Further tokens that it has use for.
    unsigned wanted = 0;
    /// Those of them that requests wait for: it uses them when the answer arrives, or drops them.
    unsigned waiting = 0;
};

/// Tokens of a daemon in a grant, and for how long they may be used.
struct quota_grant
{
    unsigned tokens = 0;
    /// Time until a token is free if there are fewer than were asked for; 0 otherwise.
    milliseconds retryAfter {0};
};

/// A keeper's part of one account's quota, until its lease ends.
struct quota_lease
{
    account_quota quota;
    double part = 0;
    /// Tokens that it may hold beyond its part of the burst, and by which it refills in a second beyond its part of the rate, so that
    /// a small quota isn't cut into parts of which none is ever whole.
    double extra = 0;
    double extraRate = 0;
    monotonic_time since;
    monotonic_time until;
};

/// A keeper's tokens of one account. It is empty when the lease begins and refills at the keeper's part of the account's rate, and at
/// the extra rate, while the lease lasts; what it holds and what daemons hold of it is at most the keeper's part of the burst, plus
/// the extra tokens. So the requests that run in any time are at most what refills in that time, plus the part of the burst, plus the
/// extra tokens.
class quota_bucket
{
public:
    /// The keeper's part from now on. Tokens beyond it are dropped; those that daemons hold stay in use.
    void setLease(const quota_lease &lease, monotonic_time now);
    /// The least part of the quota that covers what daemons hold.
    double partHeld(monotonic_time now) const;

    /// A daemon asks. The tokens that it holds then expire at the time given.
    quota_grant ask(const daemon_id &daemon, const quota_question &question, monotonic_time expiry, monotonic_time now);
    /// A daemon gives back tokens that it hasn't used.
    void giveBack(const daemon_id &daemon, unsigned tokens, monotonic_time now);
    /// A daemon has connected anew and holds nothing; what it held may have been used.
    void forget(const daemon_id &daemon);

    /// Requests per second that daemons asked tokens for lately, granted or not.
    double demand(monotonic_time now) const;
    /// Tokens that daemons hold.
    unsigned held(monotonic_time now) const;
    /// Whether nothing was asked of it for so long that it can be removed.
    bool idle(monotonic_time now) const;

private:
    struct holding
    {
        unsigned tokens = 0;
        monotonic_time expiry;
    };

    void refill(monotonic_time now);
    void dropExpired(monotonic_time now);
    double capacity() const;
    double ratePerSecond() const;

    quota_lease m_lease;
    double m_tokens = 0;
    monotonic_time m_refilledAt;
    std::map<daemon_id, holding> m_holdings;
    // Requests per second over a short and a long time: the first follows bursts, the second small accounts.
    double m_demand = 0;
    double m_longDemand = 0;
    monotonic_time m_demandAt;
};

} // namespace daisystile
