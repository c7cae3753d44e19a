#include "peer_codec.h"

#include "frame_archive.h"

namespace daisystile {

std::string encodePeerMessage(const peer_message &message)
{
    return encodeFields(message);
}

leaf::result<peer_message> decodePeerMessage(std::string_view bytes)
{
    peer_message message;
    if (!decodeFields(bytes, message)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "peer message"});
    }
    return message;
}

} // namespace daisystile
