#include "evacuation_gate.h"

#include <algorithm>

namespace daisystile {

void evacuation_gate::evacuationsRead(const std::set<failure_domain_name> &domains, const store_revision &revision, const store_revision &serversRevision)
{
    for (const auto &domain : m_evacuated) {
        if (!domains.contains(domain)) {
            m_ending.emplace(domain, revision);
        }
    }
    for (auto &[domain, seenAt] : m_ending) {
        // A restored store may have gone back.
        seenAt = std::min(seenAt, revision);
    }
    m_evacuated = domains;
    serversRead(serversRevision);
}

void evacuation_gate::serversRead(const store_revision &revision)
{
    std::erase_if(m_ending, [&](const auto &each) { return each.second <= revision || m_evacuated.contains(each.first); });
}

std::set<failure_domain_name> evacuation_gate::evacuated() const
{
    auto domains = m_evacuated;
    for (const auto &[domain, revision] : m_ending) {
        domains.insert(domain);
    }
    return domains;
}

bool evacuation_gate::waiting() const
{
    return !m_ending.empty();
}

bool evacuation_gate::waiting(const failure_domain_name &domain) const
{
    return m_ending.contains(domain);
}

} // namespace daisystile
