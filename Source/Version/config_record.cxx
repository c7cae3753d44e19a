#include "config_record.h"

#include <nlohmann/json.hpp>

#include <array>

namespace daisystile {

namespace {

struct kind_names
{
    config_kind kind;
    const char *kindName;
    const char *keyPrefix;
};

constexpr std::array<kind_names, 3> kindNames {{{config_kind::contract, "contract", "catalog/contracts/"},
    {config_kind::service, "service", "catalog/services/"},
    {config_kind::domains, "domains", "catalog/domains/"}}};

const kind_names &namesOf(config_kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

config_object objectFrom(const nlohmann::json &json)
{
    const auto kind = parseConfigKind(json.at("kind").get<std::string>());
    // An unknown kind throws std::out_of_range, so that parseStored() reports it like malformed text.
    return {kind ? *kind : kindNames.at(kindNames.size()).kind, json.at("name").get<std::string>()};
}

// Runs a parser; turns the exceptions that the JSON library throws on malformed text, missing keys and wrong types into
// a parse error.
template<class T, class Read> parsed<T> parseStored(const char *subject, const Read &read)
{
    try {
        return read();
    } catch (const std::exception &error) {
        return config_errors {{{subject, 0, "", "an object written by this program", error.what()}}};
    }
}

} // namespace

const char *toString(config_kind kind)
{
    return namesOf(kind).kindName;
}

std::optional<config_kind> parseConfigKind(std::string_view text)
{
    for (const auto &names : kindNames) {
        if (text == names.kindName) {
            return names.kind;
        }
    }
    return std::nullopt;
}

std::string recordPrefix(const config_object &object)
{
    return namesOf(object.kind).keyPrefix + object.name + "/";
}

std::string recordKey(const config_object &object, const change_id &change)
{
    return recordPrefix(object) + change.value;
}

std::string toJson(const config_head &head)
{
    auto entries = nlohmann::json::array();
    for (const auto &[object, entry] : head.entries) {
        entries.push_back({{"kind", toString(object.kind)},
            {"name", object.name},
            {"version", entry.version.value},
            {"change_id", entry.change.value},
            {"number", entry.number}});
    }
    return nlohmann::json({{"number", head.number}, {"entries", std::move(entries)}}).dump();
}

std::string toJson(const config_record &record)
{
    const nlohmann::json json = {{"kind", toString(record.object.kind)},
        {"name", record.object.name},
        {"version", record.version.value},
        {"change_id", record.change.value},
        {"previous", record.previous.value},
        {"operator", record.changedBy},
        {"at", record.at},
        {"text", record.text}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

parsed<config_head> parseHead(std::string_view json)
{
    return parseStored<config_head>(headKey, [&] {
        const auto document = parseForeignJson(json);
        config_head head;
        head.number = document.at("number").get<std::uint64_t>();
        for (const auto &entry : document.at("entries")) {
            head.entries[objectFrom(entry)] = {
                {entry.at("version").get<std::uint64_t>()}, {entry.at("change_id").get<std::string>()}, entry.at("number").get<std::uint64_t>()};
        }
        return head;
    });
}

parsed<config_record> parseRecord(std::string_view json)
{
    return parseStored<config_record>("record", [&] {
        const auto document = parseForeignJson(json);
        config_record record;
        record.object = objectFrom(document);
        record.version.value = document.at("version").get<std::uint64_t>();
        record.change.value = document.at("change_id").get<std::string>();
        record.previous.value = document.at("previous").get<std::string>();
        record.changedBy = document.at("operator").get<std::string>();
        record.at = document.at("at").get<std::int64_t>();
        record.text = document.at("text").get<std::string>();
        return record;
    });
}

} // namespace daisystile
