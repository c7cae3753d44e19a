#include "frame_reader.h"

namespace daisystile {

static constexpr std::size_t lengthBytes = 4;

void appendFrame(std::string &buffer, std::string_view payload)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        buffer += static_cast<char>((size >> shift) & 0xffU);
    }
    buffer += payload;
}

void frame_reader::feed(std::string_view bytes)
{
    if (m_used > 0) {
        m_buffer.erase(0, m_used);
        m_used = 0;
    }
    m_buffer += bytes;
}

leaf::result<bool> frame_reader::next(std::string_view &payload, std::uint32_t maxPayloadBytes)
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_used);
    if (rest.size() < lengthBytes) {
        return false;
    }
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(rest[i]);
    }
    if (size > maxPayloadBytes) {
        return leaf::new_error(connection_error {connection_failure::frame_too_long, std::to_string(size) + " bytes"});
    }
    if (rest.size() < lengthBytes + size) {
        return false;
    }
    payload = rest.substr(lengthBytes, size);
    m_used += lengthBytes + size;
    return true;
}

} // namespace daisystile
