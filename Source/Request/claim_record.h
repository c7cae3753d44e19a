#pragma once

#include <Connection/connection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// Identifies a request that may run at most once: a customer's idempotency key at one service.
struct claim_key
{
    customer_id customer;
    service_name service;
    idempotency_key key;

    auto operator<=>(const claim_key &) const = default;
};

/// Journal event: the writer claimed the key and is the only one that may run the request, once.
struct claim_made
{
    claim_key key;
    fingerprint request;
    /// Seconds since 1970.
    std::int64_t expiresAt = 0;
};

/// Journal event: the run ended with outcome done or unknown. Retained to answer resends.
struct claim_ended
{
    claim_key key;
    run_outcome outcome = run_outcome::unknown;
    std::string body;
    std::int64_t expiresAt = 0;
};

/// Journal event: the request did not run; its key may be claimed again.
struct claim_released
{
    claim_key key;
};

using claim_event = std::variant<claim_made, claim_ended, claim_released>;

/// Identifies one write of a segment, so that a writer that lost the reply can recognize its own write when it reads the
/// segment.
struct segment_writer
{
    daemon_id owner;
    incarnation incarnationNumber;
    std::uint64_t batch = 0;

    bool operator==(const segment_writer &) const = default;
};

struct segment_header
{
    segment_writer writer;
    /// No more events are added to this segment; the journal continues in the next one.
    bool sealed = false;
    /// The writer has given up the journal and has no runs in progress.
    bool released = false;
    /// Era of the store in which the segment was written; nothing if the writer stated none.
    std::optional<std::uint64_t> era;
    /// The store may have lost claims that were made before this time, in seconds since 1970; 0 if none.
    std::int64_t lostBefore = 0;
};

struct journal_segment
{
    segment_header header;
    std::vector<claim_event> events;
};

/// Encodes the event as one line of JSON, including the newline.
std::string encodeClaimEvent(const claim_event &event);
std::string encodeSegmentHeader(const segment_header &header);
/// Returns nothing if any line is malformed: an incomplete journal can't prove that a key was not claimed.
std::optional<journal_segment> parseSegment(std::string_view text);

/// Key of a segment in the platform's object store; keys sort by segment number.
std::string segmentKey(std::uint32_t partition, std::uint64_t number);
std::string segmentPrefix(std::uint32_t partition);
std::optional<std::uint64_t> segmentNumber(std::uint32_t partition, std::string_view key);

} // namespace daisystile
