#pragma once

#include "control_messages.h"

#include <map>
#include <vector>

namespace daisystile {

/// True when the update takes precedence over the known state.
bool supersedes(const member_update &update, const member_update &known);

/// The members of the fleet as one daemon knows them, those that died within the last hour included, and the updates that
/// are still to be gossiped.
class member_table
{
public:
    explicit member_table(member self);

    const daemon_id &selfId() const;
    const member_update &self() const;
    const member_update *find(const daemon_id &id) const;

    /// Stores the update if it takes precedence over the known state, and returns whether it did. Ignores updates about this
    /// daemon.
    bool apply(const member_update &update, monotonic_time now);
    /// Replaces this daemon's own state.
    void setSelf(member_update update);
    /// Removes members that have been dead for an hour; until then a stale report can't revive them.
    void expireDeadMembers(monotonic_time now);

    /// Returns the least transmitted updates. The number of transmissions of an update grows with the logarithm of the
    /// fleet's size.
    std::vector<member_update> takeGossip(std::size_t count);
    /// The known state of all members of one failure domain, or of all members when the name is empty.
    std::vector<member_update> updatesOfDomain(const failure_domain_name &domain) const;

    domain_digest digestOf(const failure_domain_name &domain) const;
    /// Names of all failure domains that have a member, sorted.
    std::vector<failure_domain_name> domains() const;

    /// Members other than this daemon that satisfy the condition, ordered by id.
    template<class Condition> std::vector<daemon_id> select(Condition condition) const
    {
        std::vector<daemon_id> chosen;
        for (const auto &[id, record] : m_entries) {
            if (id != m_self && condition(record.known.subject)) {
                chosen.push_back(id);
            }
        }
        return chosen;
    }

    /// All members that are not dead, this daemon included, ordered by id.
    std::vector<member> liveMembers() const;
    std::size_t size() const;

private:
    struct member_record
    {
        member_update known;
        monotonic_time changed;
        unsigned transmissionsLeft = 0;
    };

    void store(const member_update &update, monotonic_time now);
    unsigned initialTransmissions() const;

    daemon_id m_self;
    std::map<daemon_id, member_record> m_entries;
    // Members with transmissions left.
    std::vector<daemon_id> m_pendingUpdates;
    std::map<failure_domain_name, std::uint64_t> m_digests;
};

} // namespace daisystile
