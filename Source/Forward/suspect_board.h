#pragma once

#include "entry_settings.h"
#include "mirror_runner.h"
#include "routing_snapshot.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

/// The value of the object in which a daemon shares its suspects.
std::string suspectsText(const std::vector<suspect_record> &records);
/// Records that can't be read are left out. Nothing if the text is not such an object.
std::optional<std::vector<suspect_record>> parseSuspects(const std::string &text);

/// When a daemon writes its suspects: soon after a change, and not so often that the fleet as a whole writes too much.
milliseconds suspectsWriteDelay(const std::vector<suspect_record> &records, milliseconds sinceLastWrite, std::size_t daemons);

/// Shares the requests that this daemon suspects with the others: each daemon writes an object of its own in the store, and
/// follows those of all. Used on the control thread only.
class suspect_board
{
public:
    suspect_board(reactor &loop, platform_client &store, const entry_settings &settings, std::function<void()> changed);

    mirror_runner &objects();
    const mirror_runner &objects() const;
    /// What all daemons have shared, as far as it can be read.
    std::shared_ptr<const std::vector<shared_suspects>> shared() const;
    /// Replaces what this daemon shares.
    void share(std::vector<suspect_record> records);
    void setFleet(const std::vector<fleet_daemon> &daemons);
    /// The store has come back from a copy, which may lack what this daemon shares.
    void writeAgain();

private:
    struct seen_object
    {
        std::string version;
        monotonic_time since;
    };

    void objectsChanged();
    void scheduleWrite();
    void write();
    template<class Result> void written(const Result &result);
    /// Whether the store has what this daemon shares.
    bool upToDate() const;
    void removeAbandoned();

    reactor &m_loop;
    platform_client &m_store;
    daemon_id m_self;
    std::string m_key;
    std::function<void()> m_changed;
    mirror_runner m_objects;
    std::shared_ptr<const std::vector<shared_suspects>> m_shared;
    std::map<std::string, seen_object> m_seen;
    std::set<daemon_id> m_daemons;
    // Empty until the traffic thread has shared anything.
    std::optional<std::vector<suspect_record>> m_own;
    monotonic_time m_lastWrite = monotonic_time::min();
    timer_id m_writeTimer = 0;
    bool m_writing = false;
};

} // namespace daisystile
