#pragma once

#include "config_error.h"

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

/// Name of the only object of kind domains; its record holds the states of all failure domains.
inline constexpr std::string_view domainsName = "fleet";

/// Identifies one configuration object.
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

/// One change as stored in the platform; immutable once it was accepted.
struct config_record
{
    config_object object;
    config_version version;
    change_id change;
    /// The change that this one supersedes; empty for the first change of an object.
    change_id previous;
    std::string changedBy;
    /// Unix time in seconds, by the clock of the daemon that accepted the change.
    std::int64_t at = 0;
    std::string text;

    bool operator==(const config_record &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(object, version, change, previous, changedBy, at, text);
    }
};

/// Refers to the record of an object that is in force.
struct head_entry
{
    config_version version;
    change_id change;
    /// The number of the head that accepted this change.
    std::uint64_t number = 0;

    bool operator==(const head_entry &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(version, change, number);
    }
};

/// Refers to the record in force for every object. Each accepted change increments the number by one.
struct config_head
{
    std::uint64_t number = 0;
    std::map<config_object, head_entry> entries;

    bool operator==(const config_head &) const = default;
};

inline constexpr const char *headKey = "catalog/head";

/// Key prefix of an object's records in the platform.
std::string recordPrefix(const config_object &object);
std::string recordKey(const config_object &object, const change_id &change);
const char *toString(config_kind kind);
std::optional<config_kind> parseConfigKind(std::string_view text);

std::string toJson(const config_head &head);
std::string toJson(const config_record &record);
/// Parse values stored in the platform. An error means that the value was not written by a daemon.
parsed<config_head> parseHead(std::string_view json);
parsed<config_record> parseRecord(std::string_view json);

} // namespace daisystile
