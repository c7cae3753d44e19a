#pragma once

#include "client_account.h"

#include <map>
#include <optional>
#include <vector>

namespace daisystile {

/// What a request asks of a service, and for whom.
struct account_demand
{
    /// Empty for clients without an account, which share room like one account.
    std::optional<account_name> account;
    /// Weight of the account when room is shared, in proportion to its quota's rate; 0 for the mean of the others.
    double weight = 0;
    /// Time for which an attempt is expected to occupy a slot, in milliseconds.
    double work = 1;
};

/// Shares what a service can do among the accounts that ask for it: each gets what it asks for, up to a level in proportion
/// to its weight. Does no I/O.
class account_shares
{
public:
    void add(const account_demand &demand, monotonic_time now);

    /// Share of the account's requests to refuse when this share of all work that is asked for must be refused.
    double refusedShare(const account_demand &demand, double refusedOfAll, monotonic_time now) const;

private:
    struct asked_work
    {
        double weight = 0;
        // Moving sum, as of updatedAt.
        double work = 0;
        monotonic_time updatedAt;
    };

    struct claim
    {
        double weight = 0;
        double work = 0;
    };

    static double workAt(const asked_work &asked, monotonic_time now);
    static double fullLevel(std::vector<claim> claims, double granted);
    std::vector<claim> claims(monotonic_time now) const;
    double meanWeight() const;
    void forgetIdle(monotonic_time now);

    std::map<std::optional<account_name>, asked_work> m_accounts;
    monotonic_time m_forgotAt;
};

} // namespace daisystile
