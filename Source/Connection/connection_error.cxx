#include "connection_error.h"

namespace daisystile {

static const char *describe(connection_failure failure)
{
    switch (failure) {
    case connection_failure::frame_malformed:
        return "frame malformed";
    case connection_failure::frame_too_long:
        return "frame too long";
    case connection_failure::protocol_version_differs:
        return "protocol version differs";
    case connection_failure::key_refused:
        return "peer key refused";
    case connection_failure::peer_unknown:
        return "peer unknown";
    case connection_failure::peer_unreachable:
        return "peer unreachable";
    }
    return "unknown failure";
}

std::ostream &operator<<(std::ostream &stream, const connection_error &error)
{
    return stream << describe(error.failure) << ": " << error.subject;
}

} // namespace daisystile
