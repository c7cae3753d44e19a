#include "relay_messages.h"

#include <Connection/connection.h>
#include <Connection/frame_archive.h>

namespace daisystile {

std::string encodeRelayUpdate(const relay_update &update)
{
    return encodeFields(update);
}

leaf::result<relay_update> decodeRelayUpdate(std::string_view bytes)
{
    relay_update update;
    if (!decodeFields(bytes, update)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "relay update"});
    }
    return update;
}

std::string encodeAgeQuestion(const age_question &question)
{
    return encodeFields(question);
}

leaf::result<age_question> decodeAgeQuestion(std::string_view bytes)
{
    age_question question;
    if (!decodeFields(bytes, question)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "age question"});
    }
    return question;
}

mirror_relayed toMirror(relayed_objects objects)
{
    mirror_relayed update;
    update.whole = objects.whole;
    update.revision = objects.revision;
    update.removed = std::move(objects.removed);
    for (auto &object : objects.objects) {
        update.objects.push_back({std::move(object.key), std::move(object.revision), std::move(object.value), std::move(object.status)});
    }
    return update;
}

std::vector<relayed_daemon> fromFleet(const std::vector<fleet_daemon> &fleet)
{
    std::vector<relayed_daemon> relayed;
    relayed.reserve(fleet.size());
    for (const auto &daemon : fleet) {
        relayed.push_back({daemon.id.value, daemon.domain.value, toString(daemon.peers), toString(daemon.queries), daemon.strength});
    }
    return relayed;
}

std::vector<fleet_daemon> toFleet(const std::vector<relayed_daemon> &relayed)
{
    const auto address = [](const std::string &text) {
        return leaf::try_handle_all([&]() -> leaf::result<ip_address> { return parseIpAddress(text); }, [] { return ip_address {}; });
    };
    std::vector<fleet_daemon> fleet;
    fleet.reserve(relayed.size());
    for (const auto &daemon : relayed) {
        fleet.push_back({{daemon.id}, {daemon.domain}, address(daemon.peers), address(daemon.queries), daemon.strength});
    }
    return fleet;
}

relayed_objects allOf(const object_mirror &mirror)
{
    return allOf(mirror.objects(), mirror.revision());
}

relayed_objects allOf(const std::map<std::string, platform_object> &objects, const store_revision &revision)
{
    relayed_objects all;
    all.whole = true;
    all.revision = revision;
    for (const auto &[key, object] : objects) {
        all.objects.push_back({key, object.etag, object.value, object.status});
    }
    return all;
}

relayed_objects sent_objects::changes(const object_mirror &mirror)
{
    return changes(mirror.objects(), mirror.revision());
}

relayed_objects sent_objects::changes(const std::map<std::string, platform_object> &objects, const store_revision &revision)
{
    relayed_objects changed;
    changed.whole = std::exchange(m_era, revision.era) != revision.era;
    if (changed.whole) {
        m_sent.clear();
    }
    for (auto entry = m_sent.begin(); entry != m_sent.end();) {
        const bool gone = !objects.contains(entry->first);
        if (gone) {
            changed.removed.push_back(entry->first);
        }
        entry = gone ? m_sent.erase(entry) : std::next(entry);
    }
    for (const auto &[key, object] : objects) {
        auto &sentRevision = m_sent[key];
        if (sentRevision != object.etag) {
            sentRevision = object.etag;
            changed.objects.push_back({key, object.etag, object.value, object.status});
        }
    }
    changed.revision = revision;
    return changed;
}

} // namespace daisystile
