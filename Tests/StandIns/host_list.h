#pragma once

#include <Process/process.h>

#include <deque>
#include <map>
#include <string>

namespace daisystile {

/// The platform's list of hosts, in which each change becomes visible only after a configurable lag.
class host_list
{
public:
    /// The text is the host's JSON object, and not empty.
    void put(monotonic_time now, const std::string &id, std::string text);
    void remove(monotonic_time now, const std::string &id);
    void setLag(milliseconds lag);
    /// While frozen, changes stay pending and the visible list does not change.
    void setFrozen(monotonic_time now, bool frozen);
    const std::map<std::string, std::string> &visible(monotonic_time now);

private:
    struct change
    {
        monotonic_time time;
        std::string id;
        /// Empty for a removal.
        std::string text;
    };

    std::deque<change> m_pending;
    std::map<std::string, std::string> m_visible;
    milliseconds m_lag {0};
    bool m_frozen = false;
};

} // namespace daisystile
