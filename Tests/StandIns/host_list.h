#pragma once

#include <Process/process.h>

#include <deque>
#include <map>
#include <string>

namespace daisystile {

/// The platform's list of hosts, which shows each change only after a lag.
class host_list
{
public:
    /// The text is the host's JSON object.
    void put(monotonic_time now, const std::string &id, std::string text);
    void remove(monotonic_time now, const std::string &id);
    void setLag(milliseconds lag);
    /// Shows no change from now on.
    void setFrozen(monotonic_time now, bool frozen);
    const std::map<std::string, std::string> &seen(monotonic_time now);

private:
    struct change
    {
        monotonic_time time;
        std::string id;
        /// Empty for a removal.
        std::string text;
    };

    std::deque<change> m_pending;
    std::map<std::string, std::string> m_seen;
    milliseconds m_lag {0};
    bool m_frozen = false;
};

} // namespace daisystile
