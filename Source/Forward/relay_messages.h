#pragma once

#include "object_mirror.h"

#include <Route/route.h>

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
    std::string status {};

    template<class Archive> void serialize(Archive &archive)
    {
        archive(key, revision, value, status);
    }
};

/// Changes to one kind of objects since the previous update, or all objects.
struct relayed_objects
{
    bool whole = false;
    store_revision revision;
    std::vector<relayed_object> objects;
    std::vector<std::string> removed;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(whole, revision, objects, removed);
    }
};

/// A daemon of the fleet in a relay update.
struct relayed_daemon
{
    std::string id;
    std::string domain;
    std::string peers;
    std::string queries;
    double strength = 1;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(id, domain, peers, queries, strength);
    }
};

/// A follower's question how current its source's configuration is.
struct age_question
{
    /// The follower's clock when it asked.
    std::int64_t askedAtUs = 0;
    /// What the follower has counted of versions; empty while no order runs.
    std::string counts {};

    template<class Archive> void serialize(Archive &archive)
    {
        archive(askedAtUs, counts);
    }
};

/// The configuration with this revision was the newest one this long before the source got the question.
struct age_answer
{
    std::int64_t askedAtUs = 0;
    std::int64_t ageUs = 0;
    store_revision configurationRevision;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(askedAtUs, ageUs, configurationRevision);
    }
};

/// Update from a daemon that follows the store to its followers; also sent without changes, as a heartbeat.
struct relay_update
{
    /// Whether the sender can reach the store.
    bool storeReached = true;
    /// Era of the store that the sender knows.
    std::uint64_t era = 0;
    /// Revision of the configuration that the sender has relayed last. A follower that holds an older one reads it from the
    /// store.
    store_revision configurationRevision;
    relayed_objects configuration;
    relayed_objects servers;
    relayed_objects evacuations;
    relayed_objects suspects;
    relayed_objects rollouts;
    relayed_objects versions;
    /// All daemons of the fleet; empty if they are unchanged.
    std::vector<relayed_daemon> fleet;
    /// Digest of the peer key that the sender knows.
    std::string peerKeyDigest;
    /// Empty, or the answer to this follower's question.
    std::vector<age_answer> configurationAge;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(storeReached,
            era,
            configurationRevision,
            configuration,
            servers,
            evacuations,
            suspects,
            rollouts,
            versions,
            fleet,
            peerKeyDigest,
            configurationAge);
    }
};

std::string encodeRelayUpdate(const relay_update &update);
/// Errors: connection_error{frame_malformed}.
leaf::result<relay_update> decodeRelayUpdate(std::string_view bytes);
std::string encodeAgeQuestion(const age_question &question);
/// Errors: connection_error{frame_malformed}.
leaf::result<age_question> decodeAgeQuestion(std::string_view bytes);

mirror_relayed toMirror(relayed_objects objects);

std::vector<relayed_daemon> fromFleet(const std::vector<fleet_daemon> &fleet);
std::vector<fleet_daemon> toFleet(const std::vector<relayed_daemon> &relayed);

/// All objects of a mirror, or all of these objects as of a store revision, for a new follower.
relayed_objects allOf(const object_mirror &mirror);
relayed_objects allOf(const std::map<std::string, platform_object> &objects, const store_revision &revision);

/// Revisions of the objects of one kind as last sent, to find what has changed since.
class sent_objects
{
public:
    /// Changes since the previous call; all objects if the store has begun another era since.
    relayed_objects changes(const object_mirror &mirror);
    relayed_objects changes(const std::map<std::string, platform_object> &objects, const store_revision &revision);

private:
    // Revision of each object, by key.
    std::map<std::string, std::string> m_sent;
    std::uint64_t m_era = 0;
};

} // namespace daisystile
