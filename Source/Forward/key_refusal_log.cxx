#include "key_refusal_log.h"

namespace daisystile {

namespace {

constexpr milliseconds logInterval {1000};

constexpr std::array<const char *, 4> names {"missing", "malformed", "unknown", "not_current"};

metric_counter counterOf(metrics &registry, std::size_t cause)
{
    return registry.counter("daisystile_refused_keys_total", "Requests refused because of their keys", {{"cause", names.at(cause)}});
}

} // namespace

key_refusal_log::key_refusal_log(metrics &registry)
    : m_causes {{{counterOf(registry, 0), 0, {}}, {counterOf(registry, 1), 0, {}}, {counterOf(registry, 2), 0, {}}, {counterOf(registry, 3), 0, {}}}}
{
}

void key_refusal_log::add(key_refusal reason, const route_name &route, monotonic_time now)
{
    const auto index = static_cast<std::size_t>(reason);
    auto &count = m_causes.at(index);
    count.counter.add();
    count.sinceLogged += 1;
    if (now < count.nextLog) {
        return;
    }
    count.nextLog = now + logInterval;
    DAISYSTILE_LOG(WARNING, "accounts") << "Requests refused because of their keys." << field("cause", names.at(index))
                                        << field("requests", std::exchange(count.sinceLogged, 0)) << field("last_route", route.value);
}

} // namespace daisystile
