#pragma once

#include <Process/process.h>

#include <ostream>
#include <string>

namespace daisystile {

enum class connection_failure {
    frame_malformed,
    frame_too_long,
    protocol_version_differs,
    key_refused,
    peer_unknown,
    peer_unreachable,
};

/// An error of the connection layer with its subject, such as an address.
struct connection_error
{
    connection_failure failure;
    std::string subject;
};

std::ostream &operator<<(std::ostream &stream, const connection_error &error);

} // namespace daisystile
