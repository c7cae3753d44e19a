#pragma once

#include "client_account.h"

#include <cstdint>
#include <map>
#include <optional>

namespace daisystile {

/// Parts of accounts' quotas, 0 to 1.
using quota_parts = std::map<account_name, double>;

/// Parts are multiples of 1 / partSteps, because their text is stored for each account and keeper.
inline constexpr double partSteps = 10000;

/// What one keeper claims of the accounts' quotas. A keeper hands out tokens of its claims to daemons of its failure domain.
struct keeper_claims
{
    /// Position among the keepers, which no other keeper has.
    unsigned place = 0;
    /// Rises with each renewal.
    std::uint64_t beat = 0;
    quota_parts claimed;
    /// What it could use; others give up a part if the sum is too large.
    quota_parts wanted;

    bool operator==(const keeper_claims &) const = default;
};

/// All claims, as the store holds them in one object that is only written on condition of its version. The claims of an account
/// add up to 1 at most.
struct quota_claims
{
    std::map<daemon_id, keeper_claims> keepers;
    /// Era of the store in which the object was written.
    std::uint64_t era = 0;
    /// False for a lease's time after the store came back from a copy: keepers may still use claims that the copy lacks.
    bool settled = true;

    bool operator==(const quota_claims &) const = default;
};

/// Number of keepers that there can be at a time.
inline constexpr unsigned maxQuotaKeepers = 16;

/// Keepers claim parts of the slack, which is the same for each account, as if it were an account of this name.
inline const account_name slackAccount {};

/// Tokens of each account that a part of the slack is worth, see quota_lease.
struct quota_extra
{
    double tokens = 0;
    double perSecond = 0;
};

struct quota_claim_times
{
    /// A keeper that hasn't renewed its claims for this time has lost them.
    milliseconds lease {6000};
    milliseconds renewal {2000};
    /// Least time between two writes for more, and the time after one that brought nothing.
    milliseconds change {250};
    milliseconds fruitless {1000};
};

quota_extra extraOf(double slack, double part, milliseconds window);
/// The part of the slack that covers this many tokens.
double slackPartOf(double tokens, double slack);

/// The quota as it is handed out: what may run beyond the quota in a window is burst that keepers share, but for what clocks that
/// differ in rate may add.
account_quota handedOut(const account_quota &quota, double overage, milliseconds window);

/// Decides what one keeper writes into the store of its claims, and what of them it may use. What a keeper gives up, it stops using
/// before it writes; what it takes, it uses once that is confirmed. So the parts in use add up to 1 at most whatever the keepers
/// know of one another, and while the store is away they stay as they are until the lease ends.
class quota_claimer
{
public:
    /// The id is another one after each restart: what the process before it handed out may still be in use.
    quota_claimer(daemon_id self, quota_claim_times times);

    /// The store holds these claims in its current era. If they were written in an earlier one, the store may have lost writes that
    /// it had acknowledged: what is stated as free, or as this keeper's again, may be in use by others, so nothing more is used for
    /// a lease's time.
    void read(const quota_claims &claims, std::uint64_t era, monotonic_time now);
    /// The store holds no claims. They may have been removed, so nothing is used for a lease's time, except at the first start of all.
    void readNone(std::uint64_t era, bool firstStart, monotonic_time now);
    /// What this keeper could use from now on.
    void want(quota_parts parts);

    /// Whether the claims should be read now, in order to write them.
    bool due(monotonic_time now) const;
    /// Begins a change after the claims were read, and stops using what is given up; false if there is nothing to write.
    bool begin(monotonic_time now);
    /// The object to write on condition of the version that was read. Parts that daemons still hold tokens of aren't given up.
    quota_claims next(const quota_parts &held, monotonic_time now);
    /// The write was confirmed.
    void written(monotonic_time now);
    /// Another write came before it, or nobody knows.
    void notWritten();

    /// Parts that may be used now; empty without a lease.
    const quota_parts &inUse(monotonic_time now) const;
    /// Until when, unless the lease is renewed.
    monotonic_time leaseEnd() const;
    /// Longest time for which a lease that was in force before may go on, by this daemon's clock.
    milliseconds longestLease() const;

private:
    struct seen_keeper
    {
        std::uint64_t beat = 0;
        monotonic_time since;
    };

    quota_parts fairParts(const quota_claims &others) const;
    void removeExpired(quota_claims &claims, monotonic_time now) const;
    void noteRestored(const quota_claims &claims, std::uint64_t era, monotonic_time now);
    std::optional<unsigned> freePlace(const quota_claims &claims) const;
    void limitUse(const quota_parts &parts);

    daemon_id m_self;
    quota_claim_times m_times;
    quota_claims m_stored;
    std::optional<std::uint64_t> m_era;
    std::optional<std::uint64_t> m_settlingEra;
    bool m_read = false;
    std::map<daemon_id, seen_keeper> m_seen;
    quota_parts m_wanted;
    quota_parts m_inUse;
    // What is in use once the write that is under way has succeeded.
    std::optional<keeper_claims> m_pending;
    quota_claims m_next;
    monotonic_time m_begunAt;
    std::uint64_t m_beat = 0;
    monotonic_time m_leaseEnd;
    monotonic_time m_renewedAt;
    monotonic_time m_changeFrom;
    // Until then nothing more is taken into use, because the store has come back from a copy.
    monotonic_time m_settledAt;
    bool m_settling = false;
};

} // namespace daisystile
