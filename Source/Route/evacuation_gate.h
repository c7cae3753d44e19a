#pragma once

#include "server_entry.h"

#include <map>
#include <set>

namespace daisystile {

/// Decides when the evacuation of a failure domain ends for this daemon. Its backend servers may have become cold shortly
/// before, and what the store says of the servers may arrive later than the end of the evacuation; so the end takes effect only
/// once the servers are known as of the store revision at which the end was seen. The beginning takes effect at once.
class evacuation_gate
{
public:
    /// The domains evacuated as of a store revision, and the revision as of which the servers are known.
    void evacuationsRead(const std::set<failure_domain_name> &domains, const store_revision &revision, const store_revision &serversRevision);
    /// The servers are known as of this revision.
    void serversRead(const store_revision &revision);

    /// The domains whose servers get nothing: those evacuated, and those that wait for news of their servers.
    std::set<failure_domain_name> evacuated() const;
    /// Whether the end of an evacuation waits for news of the servers.
    bool waiting() const;
    bool waiting(const failure_domain_name &domain) const;

private:
    std::set<failure_domain_name> m_evacuated;
    // Domains whose evacuation has ended, with the store revision at which that was seen.
    std::map<failure_domain_name, store_revision> m_ending;
};

} // namespace daisystile
