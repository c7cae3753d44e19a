#pragma once

#include <Route/route.h>

#include <array>

namespace daisystile {

/// Counts requests that are refused because of their keys, and logs each cause at most once a second. Keys are never logged.
class key_refusal_log
{
public:
    explicit key_refusal_log(metrics &registry);

    void add(key_refusal reason, const route_name &route, monotonic_time now);

private:
    struct cause
    {
        metric_counter counter;
        std::uint64_t sinceLogged = 0;
        monotonic_time nextLog;
    };

    std::array<cause, 4> m_causes;
};

} // namespace daisystile
