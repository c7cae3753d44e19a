#include "control_codec.h"

#include "frame_archive.h"

namespace daisystile {

static constexpr char protocolVersion = 1;
static constexpr std::size_t signatureBytes = 16;

// Half of the HMAC is long enough to resist guessing and saves a tenth of a small datagram.
static std::string sign(std::string_view payload, std::string_view peerKey)
{
    return hmacSha256(peerKey, payload).substr(0, signatureBytes);
}

std::string encodeControlDatagram(const control_datagram &datagram, std::string_view peerKey)
{
    auto bytes = protocolVersion + encodeFields(datagram);
    bytes += sign(bytes, peerKey);
    return bytes;
}

static leaf::result<control_datagram> decodePayload(std::string_view payload)
{
    control_datagram datagram;
    if (!decodeFields(payload, datagram)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "control datagram"});
    }
    return datagram;
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
