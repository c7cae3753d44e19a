#include "request_authorization.h"

namespace daisystile {

namespace {

bool newerThan(const configuration_age &age, milliseconds limit, monotonic_time now)
{
    return age.newestAt && now - *age.newestAt <= limit;
}

// A configuration that may be out of date says nothing about a key that it lacks.
access_decision refuse(key_refusal reason, const configuration_age &age, monotonic_time now)
{
    return newerThan(age, age.maxForUnknownKeys, now) ? reason : key_refusal::not_current;
}

} // namespace

bool servesKeys(const configuration_age &age, monotonic_time now)
{
    return !age.maxForKeys || newerThan(age, *age.maxForKeys, now);
}

access_decision authorize(const route_table &routes, const route &matchedRoute, const stated_key &key, const configuration_age &age, monotonic_time now)
{
    const request_access withoutKey {std::nullopt, matchedRoute.urgency};
    if (!routes.keys().keysNeeded()) {
        return withoutKey;
    }
    const auto *digest = std::get_if<sha256_digest>(&key);
    const auto holder = digest == nullptr ? std::nullopt : routes.keys().holderOf(*digest);
    if (!holder) {
        if (matchedRoute.anonymous) {
            return withoutKey;
        }
        const auto reason = digest != nullptr ? key_refusal::unknown : std::holds_alternative<no_key>(key) ? key_refusal::missing : key_refusal::malformed;
        return refuse(reason, age, now);
    }
    if (!servesKeys(age, now)) {
        return key_refusal::not_current;
    }
    const auto &account = routes.configuration().accounts[*holder];
    return request_access {account.name, account.urgency.value_or(matchedRoute.urgency)};
}

} // namespace daisystile
