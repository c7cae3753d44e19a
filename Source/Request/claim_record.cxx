#include "claim_record.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystile {

using nlohmann::json;

static constexpr std::size_t numberDigits = 12;

namespace {

struct event_encoder
{
    json operator()(const claim_made &event) const
    {
        auto line = named("made", event.key);
        line["request"] = event.request.value;
        line["expires"] = event.expiresAt;
        return line;
    }

    json operator()(const claim_ended &event) const
    {
        auto line = named("ended", event.key);
        line["done"] = event.outcome == run_outcome::done;
        line["body"] = event.body;
        line["expires"] = event.expiresAt;
        return line;
    }

    json operator()(const claim_released &event) const
    {
        return named("released", event.key);
    }

    static json named(const char *kind, const claim_key &key)
    {
        return {{"event", kind}, {"customer", key.customer.value}, {"service", key.service.value}, {"key", key.key.value}};
    }
};

} // namespace

static std::string toLine(const json &object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

std::string encodeClaimEvent(const claim_event &event)
{
    return toLine(std::visit(event_encoder(), event));
}

std::string encodeSegmentHeader(const segment_header &header)
{
    json line {{"owner", header.writer.owner.value},
        {"life", header.writer.incarnationNumber.value},
        {"batch", header.writer.batch},
        {"sealed", header.sealed},
        {"released", header.released},
        {"lost_before", header.lostBefore}};
    if (header.era) {
        line["era"] = *header.era;
    }
    return toLine(line);
}

static segment_header headerFrom(const json &line)
{
    segment_header header;
    line.at("owner").get_to(header.writer.owner.value);
    line.at("life").get_to(header.writer.incarnationNumber.value);
    line.at("batch").get_to(header.writer.batch);
    line.at("sealed").get_to(header.sealed);
    line.at("released").get_to(header.released);
    // Earlier releases wrote neither.
    header.lostBefore = line.value("lost_before", std::int64_t {0});
    if (line.contains("era")) {
        header.era = line.at("era").get<std::uint64_t>();
    }
    return header;
}

static claim_event eventFrom(const json &line)
{
    claim_key key;
    line.at("customer").get_to(key.customer.value);
    line.at("service").get_to(key.service.value);
    line.at("key").get_to(key.key.value);
    const auto kind = line.at("event").get<std::string>();
    if (kind == "made") {
        return claim_made {key, {line.at("request").get<std::uint64_t>()}, line.at("expires").get<std::int64_t>()};
    }
    if (kind == "ended") {
        const auto outcome = line.at("done").get<bool>() ? run_outcome::done : run_outcome::unknown;
        return claim_ended {key, outcome, line.at("body").get<std::string>(), line.at("expires").get<std::int64_t>()};
    }
    // An unknown kind throws json::exception, as any other malformed line does.
    static_cast<void>(line.at(kind == "released" ? "key" : "event of a known kind"));
    return claim_released {key};
}

std::optional<journal_segment> parseSegment(std::string_view text)
{
    journal_segment segment;
    bool first = true;
    // nlohmann::json throws on malformed text, missing keys and wrong types.
    try {
        while (!text.empty()) {
            const auto end = text.find('\n');
            if (end == std::string_view::npos) {
                return std::nullopt;
            }
            const auto line = parseForeignJson(text.substr(0, end));
            text.remove_prefix(end + 1);
            if (first) {
                segment.header = headerFrom(line);
            } else {
                segment.events.push_back(eventFrom(line));
            }
            first = false;
        }
    } catch (const json::exception &) {
        return std::nullopt;
    }
    if (first) {
        return std::nullopt;
    }
    return segment;
}

std::string segmentPrefix(std::uint32_t partition)
{
    return "journal/" + std::to_string(partition) + "/";
}

std::string segmentKey(std::uint32_t partition, std::uint64_t number)
{
    const auto digits = std::to_string(number);
    return segmentPrefix(partition) + std::string(numberDigits - std::min(numberDigits, digits.size()), '0') + digits;
}

std::optional<std::uint64_t> segmentNumber(std::uint32_t partition, std::string_view key)
{
    const auto prefix = segmentPrefix(partition);
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(key.data(), key.data() + key.size(), number);
    if (code != std::errc {} || end != key.data() + key.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace daisystile
