#include "control_codec.h"

#include "view_buffer.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <sstream>

namespace daisystile {

static constexpr char protocolVersion = 1;
static constexpr std::size_t signatureBytes = 16;

// Half of the code is enough against guessing and saves a tenth of a small datagram.
static std::string sign(std::string_view payload, std::string_view peerKey)
{
    return hmacSha256(peerKey, payload).substr(0, signatureBytes);
}

std::string encodeControlDatagram(const control_datagram &datagram, std::string_view peerKey)
{
    std::ostringstream stream(std::ios::binary);
    stream.put(protocolVersion);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(datagram);
    }
    auto bytes = std::move(stream).str();
    bytes += sign(bytes, peerKey);
    return bytes;
}

static leaf::result<control_datagram> decodePayload(std::string_view payload)
{
    view_buffer buffer(payload);
    std::istream stream(&buffer);
    // The codec throws on short input and on lengths that can't be held.
    try {
        control_datagram datagram;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(datagram);
        if (buffer.atEnd()) {
            return datagram;
        }
    } catch (const std::exception &) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "control datagram"});
    }
    return leaf::new_error(connection_error {connection_failure::frame_malformed, "trailing bytes"});
}

leaf::result<control_datagram> decodeControlDatagram(std::string_view bytes, std::string_view peerKey)
{
    if (bytes.size() <= signatureBytes) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "control datagram"});
    }
    const auto signature = bytes.substr(bytes.size() - signatureBytes);
    bytes.remove_suffix(signatureBytes);
    if (!equalInConstantTime(sign(bytes, peerKey), signature)) {
        return leaf::new_error(connection_error {connection_failure::key_refused, "control datagram"});
    }
    if (bytes.front() != protocolVersion) {
        return leaf::new_error(connection_error {connection_failure::protocol_version_differs, "control datagram"});
    }
    return decodePayload(bytes.substr(1));
}

} // namespace daisystile
