#pragma once

#include "routing.h"

#include <optional>
#include <variant>

namespace daisystile {

struct no_key
{
};
/// There are several keys, or something that is no key.
struct malformed_key
{
};
/// What a request states as its client's key; of the key itself only the digest is kept.
using stated_key = std::variant<no_key, malformed_key, sha256_digest>;

/// How current the configuration in force is known to be.
struct configuration_age
{
    /// It was the newest one when the store was asked at this time; nothing if that isn't known.
    std::optional<monotonic_time> newestAt;
    /// An older configuration than this may lack keys that exist.
    milliseconds maxForUnknownKeys {5000};
    /// No request with a key is served with an older configuration; nothing if any will do.
    std::optional<milliseconds> maxForKeys;
};

enum class key_refusal {
    missing,
    malformed,
    unknown,
    /// The configuration is too old to know that the key is still valid, or that there is no such key.
    not_current,
};

struct request_access
{
    /// The account whose key the request bears; none on a route without keys.
    std::optional<account_name> account;
    /// The account's urgency if it has one, or else the route's.
    urgency_rank urgency;
};

using access_decision = std::variant<request_access, key_refusal>;

/// Decides whether a request may use a route. The time must have been read after the request was.
access_decision authorize(const route_table &routes, const route &matchedRoute, const stated_key &key, const configuration_age &age, monotonic_time now);

/// Whether requests with a key are served with a configuration of this age.
bool servesKeys(const configuration_age &age, monotonic_time now);

} // namespace daisystile
