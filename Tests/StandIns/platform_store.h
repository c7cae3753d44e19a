#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystile {

struct stored_object
{
    std::string key;
    /// The revision in quotes, as in an ETag header. Revisions are reused only after restore().
    std::string etag;
    std::string value;
    /// JSON; empty if it has none.
    std::string status {};
};

struct store_event
{
    std::uint64_t revision = 0;
    std::string key;
    std::string etag;
    /// Empty if the object was deleted.
    std::optional<std::string> value;
    std::string status {};
};

struct write_conditions
{
    std::optional<std::string> ifMatch;
    bool ifAbsent = false;
};

enum class write_error {
    precondition_failed,
    too_large,
};

/// The ETag of the written object, or the reason for a rejected write.
using store_result = std::variant<std::string, write_error>;

/// In-memory store of the platform's objects and the history of their changes.
class platform_store
{
public:
    static constexpr std::size_t maximumValueBytes = 1U << 20U;

    store_result put(const std::string &key, std::string value, const write_conditions &conditions);
    /// Replaces the status of an object that exists.
    store_result putStatus(const std::string &key, std::string status, const write_conditions &conditions);
    /// Deleting an absent key succeeds, unless the conditions require an ETag.
    store_result remove(const std::string &key, const write_conditions &conditions);
    const stored_object *find(const std::string &key) const;
    std::vector<stored_object> list(const std::string &prefix) const;
    std::uint64_t revision() const;

    /// Rises by one with each restore().
    std::uint64_t era() const;
    /// Goes back to what it held at an earlier revision; later revisions are given out again.
    void restore(std::uint64_t revision);

    /// Empty if part of the requested history has been compacted, or if it hasn't come so far.
    std::optional<std::vector<store_event>> eventsAfter(const std::string &prefix, std::uint64_t after) const;
    void compact();

private:
    /// What a key held before a change.
    struct undo_step
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<stored_object> before;
    };

    bool conditionsHold(const std::string &key, const write_conditions &conditions) const;
    std::string appendEvent(const std::string &key, std::optional<std::string> value, std::string status = {});

    std::map<std::string, stored_object> m_objects;
    std::deque<store_event> m_events;
    std::deque<undo_step> m_undo;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 0;
    std::uint64_t m_compactedUpTo = 0;
};

} // namespace daisystile
