#pragma once

#include "connection_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

/// Maximum size in bytes of a frame's payload on a peer link.
inline constexpr std::uint32_t maximalFrameBytes = 4U << 20U;

/// Appends a frame: length as four bytes, most significant first, then the payload.
void appendFrame(std::string &buffer, std::string_view payload);

/// Splits a byte stream into frames.
class frame_reader
{
public:
    void feed(std::string_view bytes);

    /// Stores the next complete frame in `payload`, or returns false when more bytes are needed. The view is valid until the
    /// next call. Errors: connection_error{frame_too_long}; the stream can't be read any further after it.
    leaf::result<bool> next(std::string_view &payload, std::uint32_t maxPayloadBytes = maximalFrameBytes);

private:
    std::string m_buffer;
    std::size_t m_used = 0;
};

} // namespace daisystile
