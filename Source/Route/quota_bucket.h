#pragma once

#include "client_account.h"

#include <map>
#include <optional>

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
};

/// Tokens of a daemon in a grant, and for how long they may be used.
struct quota_grant
{
    unsigned tokens = 0;
    /// Time until a token is free if there are fewer than were asked for; 0 otherwise.
    milliseconds retryAfter {0};
};

/// A keeper's tokens of one account. It refills at the keeper's part of the account's rate; what it holds and what daemons hold of it
/// is at most the keeper's part of the burst, plus a token. So the requests that run in any time are at most the keeper's part
/// of what refills in that time, plus its part of the burst and the token.
class quota_bucket
{
public:
    /// The keeper's part of the quota from now on; nothing if it has no place among the keepers. Tokens beyond the part of the
    /// burst are dropped.
    void setPart(const account_quota &quota, std::optional<double> part, monotonic_time now);

    /// A daemon asks. The tokens that it holds then expire at the time given.
    quota_grant ask(const daemon_id &daemon, const quota_question &question, monotonic_time expiry, monotonic_time now);
    /// A daemon gives back tokens that it hasn't used.
    void giveBack(const daemon_id &daemon, unsigned tokens, monotonic_time now);
    /// A daemon has connected anew and holds nothing; what it held may have been used.
    void forget(const daemon_id &daemon);

    /// Requests per second that daemons asked tokens for lately, granted or not.
    double demand(monotonic_time now) const;
    /// Tokens that daemons hold, and that they hold or have use for.
    unsigned held(monotonic_time now) const;
    unsigned wanted(monotonic_time now) const;
    /// Whether nothing was asked of it for so long that it can be removed.
    bool idle(monotonic_time now) const;

private:
    struct holding
    {
        unsigned tokens = 0;
        unsigned missing = 0;
        monotonic_time expiry;
    };

    void refill(monotonic_time now);
    void dropExpired(monotonic_time now);
    double capacity() const;

    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    monotonic_time m_refilledAt;
    std::map<daemon_id, holding> m_holdings;
    double m_demand = 0;
    monotonic_time m_demandAt;
    bool m_placed = false;
};

} // namespace daisystile
