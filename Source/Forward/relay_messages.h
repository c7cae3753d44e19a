#pragma once

#include "object_mirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// An object of the store in a relay update.
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

/// Changes to one kind of objects since the previous update, or all objects.
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

/// Update from a daemon that follows the store to its followers; also sent without changes, as a heartbeat.
struct relay_update
{
    /// Whether the sender can reach the store.
    bool storeReached = true;
    /// Revision of the sender's current configuration; followers read the configuration itself from the store.
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

/// All objects of a mirror, for a new follower.
relayed_objects allOf(const object_mirror &mirror);

/// Revisions of the objects of one kind as last sent, to find what has changed since.
class sent_objects
{
public:
    /// Changes since the previous call.
    relayed_objects changes(const object_mirror &mirror);

private:
    // Revision of each object, by key.
    std::map<std::string, std::string> m_sent;
};

} // namespace daisystile
