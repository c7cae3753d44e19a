#pragma once

#include "connection_error.h"
#include "peer_messages.h"

#include <string>
#include <string_view>

namespace daisystile {

/// Serializes a message to an encoding that is the same on all supported machines.
std::string encodePeerMessage(const peer_message &message);
/// Errors: connection_error{frame_malformed}, also for trailing bytes.
leaf::result<peer_message> decodePeerMessage(std::string_view bytes);

} // namespace daisystile
