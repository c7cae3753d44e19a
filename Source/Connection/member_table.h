#pragma once

#include "control_messages.h"

#include <map>
#include <vector>

namespace daisystile {

/// True when an update tells something newer than what is known.
bool supersedes(const member_update &update, const member_update &known);

/// All members of the fleet as one daemon knows them, the dead of the last hour included, and what is still to be told.
class member_table
{
public:
    explicit member_table(member self);

    const daemon_id &selfId() const;
    const member_update &self() const;
    const member_update *find(const daemon_id &id) const;

    /// Takes an update in if it is newer; true if it was. Updates about this daemon are left out.
    bool apply(const member_update &update, monotonic_time now);
    /// Replaces what this daemon says of itself.
    void setSelf(member_update update);
    /// Drops dead members after an hour; until then a stale report can't bring one back.
    void forgetOldDead(monotonic_time now);

    /// Updates told the fewest times so far; each is told a number of times that grows with the logarithm of the fleet.
    std::vector<member_update> takeUpdates(std::size_t count);
    /// Everything known of one failure domain, or of all when the name is empty.
    std::vector<member_update> describe(const failure_domain_name &domain) const;

    domain_digest digestOf(const failure_domain_name &domain) const;
    /// Names of all failure domains with a member, in order.
    std::vector<failure_domain_name> domains() const;

    /// Members other than this daemon for which the condition holds, in order of their ids.
    template<class Condition> std::vector<daemon_id> select(Condition condition) const
    {
        std::vector<daemon_id> chosen;
        for (const auto &[id, record] : m_entries) {
            if (id != m_self && condition(record.known.about)) {
                chosen.push_back(id);
            }
        }
        return chosen;
    }

    /// All but the dead, this daemon included, in order of their ids.
    std::vector<member> living() const;
    std::size_t size() const;

private:
    struct member_record
    {
        member_update known;
        monotonic_time changed;
        unsigned tellingsLeft = 0;
    };

    void store(const member_update &update, monotonic_time now);
    unsigned tellingsAtStart() const;

    daemon_id m_self;
    std::map<daemon_id, member_record> m_entries;
    // Entries with tellings left.
    std::vector<daemon_id> m_untold;
    std::map<failure_domain_name, std::uint64_t> m_digests;
};

} // namespace daisystile
