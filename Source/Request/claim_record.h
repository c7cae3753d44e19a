#pragma once

#include <Connection/connection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// What may run at most once: one customer's idempotency key at one service.
struct claim_key
{
    customer_id customer;
    service_name service;
    idempotency_key key;

    auto operator<=>(const claim_key &) const = default;
};

/// The writer alone may run the request, once.
struct claim_made
{
    claim_key key;
    fingerprint request;
    /// Seconds since 1970.
    std::int64_t expiresAt = 0;
};

/// How the run ended, done or unknown; kept for resends.
struct claim_ended
{
    claim_key key;
    run_outcome outcome = run_outcome::unknown;
    std::string body;
    std::int64_t expiresAt = 0;
};

/// The request did not run and may be claimed again.
struct claim_released
{
    claim_key key;
};

using claim_event = std::variant<claim_made, claim_ended, claim_released>;

/// Names one write of a segment, so that a writer whose answer was lost knows its own again.
struct segment_writer
{
    daemon_id owner;
    incarnation life;
    std::uint64_t batch = 0;

    bool operator==(const segment_writer &) const = default;
};

struct segment_header
{
    segment_writer writer;
    /// The next segment carries on.
    bool sealed = false;
    /// The writer has stopped for good and runs nothing more.
    bool released = false;
};

struct journal_segment
{
    segment_header header;
    std::vector<claim_event> events;
};

/// One line, with its end.
std::string encodeClaimEvent(const claim_event &event);
std::string encodeSegmentHeader(const segment_header &header);
/// Nothing when any line is malformed: a journal that can't be read whole proves nothing.
std::optional<journal_segment> parseSegment(std::string_view text);

/// Key of a segment in the platform; keys sort by number.
std::string segmentKey(std::uint32_t partition, std::uint64_t number);
std::string segmentPrefix(std::uint32_t partition);
std::optional<std::uint64_t> segmentNumber(std::uint32_t partition, std::string_view key);

} // namespace daisystile
