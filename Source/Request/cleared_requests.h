#pragma once

#include <Process/process.h>

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace daisystile {

/// Bounded set of requests that ran successfully of late; the oldest entries are evicted first.
class cleared_requests
{
public:
    void add(fingerprint request, monotonic_time until)
    {
        if (m_until.insert_or_assign(request, until).second) {
            m_order.push_back(request);
        }
        if (m_order.size() > maxRequests) {
            m_until.erase(m_order.front());
            m_order.pop_front();
        }
    }

    void remove(fingerprint request)
    {
        const auto found = m_until.find(request);
        if (found != m_until.end()) {
            found->second = {};
        }
    }

    bool contains(fingerprint request, monotonic_time now) const
    {
        const auto found = m_until.find(request);
        return found != m_until.end() && now < found->second;
    }

private:
    static constexpr std::size_t maxRequests = 50'000;

    std::unordered_map<fingerprint, monotonic_time> m_until;
    std::deque<fingerprint> m_order;
};

} // namespace daisystile
