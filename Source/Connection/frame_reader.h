#pragma once

#include "connection_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

/// Longest frame on a peer link, in bytes, its length field left out.
inline constexpr std::uint32_t maximalFrameBytes = 4U << 20U;

/// Appends a frame: length as four bytes, most significant first, then the payload.
void appendFrame(std::string &buffer, std::string_view payload);

/// Cuts a byte stream into frames.
class frame_reader
{
public:
    void feed(std::string_view bytes);

    /// The next whole frame into `payload`; false when more bytes are needed. The view holds until the next call.
    /// Errors: connection_error{frame_too_long}; the stream is of no use after it.
    leaf::result<bool> next(std::string_view &payload);

private:
    std::string m_buffer;
    std::size_t m_used = 0;
};

} // namespace daisystile
