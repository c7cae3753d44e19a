#include "host_list.h"

namespace daisystile {

void host_list::put(monotonic_time now, const std::string &id, std::string text)
{
    m_pending.push_back({now, id, std::move(text)});
}

void host_list::remove(monotonic_time now, const std::string &id)
{
    m_pending.push_back({now, id, {}});
}

void host_list::setLag(milliseconds lag)
{
    m_lag = lag;
}

void host_list::setFrozen(monotonic_time now, bool frozen)
{
    visible(now);
    m_frozen = frozen;
}

const std::map<std::string, std::string> &host_list::visible(monotonic_time now)
{
    while (!m_frozen && !m_pending.empty() && m_pending.front().time + m_lag <= now) {
        auto &next = m_pending.front();
        if (next.text.empty()) {
            m_visible.erase(next.id);
        } else {
            m_visible[next.id] = std::move(next.text);
        }
        m_pending.pop_front();
    }
    return m_visible;
}

} // namespace daisystile
