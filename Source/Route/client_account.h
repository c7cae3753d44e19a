#pragma once

#include "urgency_rank.h"

#include <optional>
#include <vector>

namespace daisystile {

/// Name of a client account in the configuration.
using account_name = strong_value<struct account_name_tag, std::string>;

/// Requests that an account may have run over all daemons together.
struct account_quota
{
    /// Requests per second.
    double rate = 0;
    /// Requests beyond the rate that may run at once.
    double burst = 0;

    bool operator==(const account_quota &) const = default;
};

/// A client account of the routing configuration.
struct client_account
{
    account_name name;
    /// Digests of the keys with which clients prove that they use the account.
    std::vector<sha256_digest> keys;
    /// Goes before the urgency of the route; empty to leave that as it is.
    std::optional<urgency_rank> urgency;
    /// Empty for an account without a quota.
    std::optional<account_quota> quota;
};

} // namespace daisystile
