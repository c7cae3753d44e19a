#pragma once

#include "config_mistake.h"

#include <Process/process.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

enum class config_kind : std::uint8_t {
    contract,
    service,
    domains,
};

/// The one name under which failure-domain states are kept.
inline constexpr std::string_view domainsName = "fleet";

/// Names one configured object.
struct config_object
{
    config_kind kind = config_kind::contract;
    std::string name;

    auto operator<=>(const config_object &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(kind, name);
    }
};

/// One change as kept in the platform; never rewritten.
struct config_record
{
    config_object object;
    config_version version;
    change_id change;
    /// The change that this one replaces; empty for the first.
    change_id previous;
    std::string changedBy;
    /// Seconds since 1970, by the clock of the daemon that accepted it.
    std::int64_t at = 0;
    std::string text;

    bool operator==(const config_record &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(object, version, change, previous, changedBy, at, text);
    }
};

/// Which record of an object is in force.
struct head_entry
{
    config_version version;
    change_id change;
    /// The head's number when this change was accepted.
    std::uint64_t number = 0;

    bool operator==(const head_entry &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(version, change, number);
    }
};

/// Names the record in force for every object; its number grows by one with each accepted change.
struct config_head
{
    std::uint64_t number = 0;
    std::map<config_object, head_entry> entries;

    bool operator==(const config_head &) const = default;
};

inline constexpr const char *headKey = "catalog/head";

/// Prefix of an object's records in the platform.
std::string recordPrefix(const config_object &object);
std::string recordKey(const config_object &object, const change_id &change);
const char *toString(config_kind kind);
std::optional<config_kind> parseConfigKind(std::string_view text);

std::string toJson(const config_head &head);
std::string toJson(const config_record &record);
/// What the platform holds; a mistake means that something else wrote it.
parsed<config_head> parseHead(std::string_view json);
parsed<config_record> parseRecord(std::string_view json);

} // namespace daisystile
