#pragma once

#include "client_account.h"

#include <cstdint>
#include <map>
#include <optional>

namespace daisystile {

/// Parts of accounts' quotas, 0 to 1.
using quota_parts = std::map<account_name, double>;

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

struct quota_claim_times
{
    /// A keeper that hasn't renewed its claims for this time has lost them.
    milliseconds lease {8000};
    milliseconds renewal {2500};
    /// Least time between two writes for more, and the time after one that brought nothing.
    milliseconds change {250};
    milliseconds fruitless {1000};
};

/// Decides what one keeper writes into the store of its claims, and what of them it may use. What a keeper gives up, it stops using
/// before it writes; what it takes, it uses once that is confirmed. So the parts in use add up to 1 at most whatever the keepers
/// know of one another, and while the store is away they stay as they are until the lease ends.
class quota_claimer
{
public:
    quota_claimer(daemon_id self, quota_claim_times times);

    /// The store holds these claims in its current era. If they were written in an earlier one, the store may have lost writes that
    /// it had acknowledged: what is stated as free, or as this keeper's again, may be in use by others, so nothing more is used for
    /// a lease's time.
    void read(const quota_claims &claims, std::uint64_t era, monotonic_time now);
    /// The store holds no claims yet.
    void readNone(std::uint64_t era, monotonic_time now);
    /// What this keeper could use from now on.
    void want(quota_parts parts);

    /// Whether the claims should be read now, in order to write them.
    bool due(monotonic_time now) const;
    /// The object to write after it was read, on condition of the version that was read; nothing if it needn't be written.
    std::optional<quota_claims> next(monotonic_time now);
    /// The write that was begun at this time succeeded, or another one came before it, or nobody knows.
    void written(monotonic_time begunAt, monotonic_time now);
    void notWritten();

    /// Parts that may be used now; empty without a lease.
    const quota_parts &inUse(monotonic_time now) const;
    /// Until when, unless the lease is renewed.
    monotonic_time leaseEnd() const;

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
    std::uint64_t m_beat = 0;
    monotonic_time m_leaseEnd;
    monotonic_time m_renewedAt;
    monotonic_time m_changeFrom;
    // Until then nothing more is taken into use, because the store has come back from a copy.
    monotonic_time m_settledAt;
    bool m_settling = false;
};

} // namespace daisystile
