#pragma once

#include <Process/process.h>

namespace daisystile {

/// Decides when another daemon may be offered queries, from how it treated earlier offers.
class delegate_health
{
public:
    void accepted();
    /// It can't take queries now, but is alive.
    void declined(monotonic_time now);
    /// It didn't answer in time, or its connection failed. Repeated failures exclude it for longer.
    void failed(monotonic_time now);

    bool usable(monotonic_time now) const;

private:
    unsigned m_failures = 0;
    monotonic_time m_usableFrom;
};

} // namespace daisystile
