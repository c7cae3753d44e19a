#pragma once

#include "object_mirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// One object of the store on its way between daemons.
struct relayed_object
{
    std::string key;
    std::string revision;
    std::string value;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(key, revision, value);
    }
};

/// Changes of one kind of objects since the update before, or all of them.
struct relayed_objects
{
    bool whole = false;
    std::uint64_t revision = 0;
    std::vector<relayed_object> objects;
    std::vector<std::string> removed;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(whole, revision, objects, removed);
    }
};

/// What a daemon that follows the store tells those that follow it; also sent without changes, as a heartbeat.
struct relay_update
{
    /// False while the sender can't reach the store.
    bool storeReached = true;
    /// Revision of the configuration in force at the sender; the receivers read it from the store.
    std::uint64_t configurationRevision = 0;
    relayed_objects servers;
    relayed_objects evacuations;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(storeReached, configurationRevision, servers, evacuations);
    }
};

std::string encodeRelayUpdate(const relay_update &update);
/// Errors: connection_error{frame_malformed}.
leaf::result<relay_update> decodeRelayUpdate(std::string_view bytes);

mirror_relayed toMirror(relayed_objects objects);

/// All that a mirror holds, for a new follower.
relayed_objects allOf(const object_mirror &mirror);

/// The objects of one kind as last told, to find what changed since.
class sent_objects
{
public:
    /// What changed since the last call.
    relayed_objects changes(const object_mirror &mirror);

private:
    // Revision of each object, by key.
    std::map<std::string, std::string> m_sent;
};

} // namespace daisystile
