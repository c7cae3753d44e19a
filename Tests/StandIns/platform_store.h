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
    /// Quoted, as in the header; revisions never repeat.
    std::string etag;
    std::string value;
};

struct store_event
{
    std::uint64_t revision = 0;
    std::string key;
    std::string etag;
    /// Empty when the object was deleted.
    std::optional<std::string> value;
};

struct write_conditions
{
    std::optional<std::string> ifMatch;
    bool ifAbsent = false;
};

enum class write_refusal {
    precondition_failed,
    too_large,
};

/// The etag of what was written, or why nothing was.
using store_result = std::variant<std::string, write_refusal>;

/// The platform's objects with their history.
class platform_store
{
public:
    static constexpr std::size_t valueBytes = 1U << 20U;

    store_result put(const std::string &key, std::string value, const write_conditions &conditions);
    /// A key that is absent counts as deleted, unless an etag was asked for.
    store_result remove(const std::string &key, const write_conditions &conditions);
    const stored_object *find(const std::string &key) const;
    std::vector<stored_object> list(const std::string &prefix) const;
    std::uint64_t revision() const;

    /// Nothing when part of the history asked for was compacted.
    std::optional<std::vector<store_event>> eventsAfter(const std::string &prefix, std::uint64_t after) const;
    void compact();

private:
    bool holds(const std::string &key, const write_conditions &conditions) const;
    std::string record(const std::string &key, std::optional<std::string> value);

    std::map<std::string, stored_object> m_objects;
    std::deque<store_event> m_events;
    std::uint64_t m_revision = 0;
    std::uint64_t m_compactedUpTo = 0;
};

} // namespace daisystile
