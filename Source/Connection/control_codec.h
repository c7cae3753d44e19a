#pragma once

#include "connection_error.h"
#include "control_messages.h"

#include <string>
#include <string_view>

namespace daisystile {

/// Serializes a datagram and signs it with the peer key.
std::string encodeControlDatagram(const control_datagram &datagram, std::string_view peerKey);
/// Errors: connection_error{key_refused, protocol_version_differs, frame_malformed}.
leaf::result<control_datagram> decodeControlDatagram(std::string_view bytes, std::string_view peerKey);

} // namespace daisystile
