#pragma once

#include <platform/platform.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

struct mirror_listed
{
    list_result result;
};
struct mirror_watched
{
    watch_result result;
};
/// A listing, possibly stale, to verify a pending watch.
struct mirror_checked
{
    list_result result;
};
/// The watch may have missed changes, or a reload is wanted for another reason.
struct reload_requested
{
};
/// Objects relayed by another daemon that follows the store.
struct mirror_relayed
{
    /// Whether the update has all objects, rather than those that changed.
    bool whole = false;
    /// Store revision of the update.
    store_revision revision;
    std::vector<platform_object> objects;
    std::vector<std::string> removed;
};
struct mirror_timer
{
};
using mirror_event = std::variant<mirror_listed, mirror_watched, mirror_checked, reload_requested, mirror_relayed, mirror_timer>;

/// Read all objects again.
struct read_all_objects
{
};
struct watch_objects
{
    store_revision after;
};
/// Deliver mirror_timer after the delay.
struct start_timer
{
    milliseconds delay;
};
/// Leave the current call running.
struct no_action
{
};
using mirror_action = std::variant<read_all_objects, watch_objects, start_timer, no_action>;

struct mirror_limits
{
    /// Delay before the next watch after changes, so that changes in close succession are fetched together.
    milliseconds batchDelay {100};
    milliseconds initialRetryDelay {100};
    milliseconds maxRetryDelay {1000};
    /// Removals seen within this time after a store outage take effect only at its end; 0 applies them at once.
    milliseconds lapseGrace {0};
    /// The same for removals seen after the store has come back from a copy: what it has lost is about to be written again.
    milliseconds restoreGrace {0};
};

/// Keeps a copy of the store's objects under a prefix and tolerates a store that is unreachable, slow or has compacted its history.
class object_mirror
{
public:
    object_mirror(mirror_limits limits, std::uint64_t seed);

    mirror_action decide(const mirror_event &event, monotonic_time now);

    /// True once the objects were read, also while the store is unreachable.
    bool known() const;
    /// False while the objects have to be read again.
    bool upToDate() const;
    /// Counter that increases whenever objects() changes.
    std::uint64_t changes() const;
    /// Current objects by key, including lapsed ones whose removal has not taken effect yet.
    const std::map<std::string, platform_object> &objects() const;
    /// Removes lapsed objects whose grace time is over; returns the time of the next one, if any.
    std::optional<monotonic_time> dropLapsed(monotonic_time now);
    bool storeUnreachable() const;
    /// Store revision of the objects.
    const store_revision &revision() const;
    void setBatchDelay(milliseconds newDelay);

private:
    mirror_action onListed(const list_result &result, monotonic_time now);
    mirror_action onWatched(const watch_result &result, monotonic_time now);
    mirror_action onChecked(const list_result &result);
    mirror_action onRelayed(const mirror_relayed &update, monotonic_time now);
    bool outdatedBy(const object_list &list) const;
    /// Keys of known objects that are not in the list.
    std::vector<std::string> missingFrom(const std::vector<platform_object> &objects) const;
    mirror_action failed();
    void reached(monotonic_time now);
    /// The store is known as of this revision.
    void advance(const store_revision &revision, monotonic_time now);
    /// Until when a removal that is seen now is put off.
    std::optional<monotonic_time> removalGrace(monotonic_time now) const;
    void put(const platform_object &object);
    void remove(const std::string &key, monotonic_time now);

    mirror_limits m_limits;
    std::mt19937_64 m_random;
    std::map<std::string, platform_object> m_objects;
    std::map<std::string, monotonic_time> m_lapsed;
    store_revision m_revision;
    std::uint64_t m_changes = 0;
    unsigned m_failures = 0;
    bool m_known = false;
    bool m_mustRead = true;
    std::optional<monotonic_time> m_reachableSince;
    std::optional<monotonic_time> m_restoredSince;
};

} // namespace daisystile
