#include "peer_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <sstream>
#include <streambuf>

namespace daisystile {

namespace {

// Reads in place, without a copy of the frame.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    bool atEnd() const
    {
        return gptr() == egptr();
    }
};

} // namespace

std::string encodePeerMessage(const peer_message &message)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

leaf::result<peer_message> decodePeerMessage(std::string_view bytes)
{
    view_buffer buffer(bytes);
    std::istream stream(&buffer);
    // The codec throws on short input and on lengths that can't be held.
    try {
        peer_message message;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        if (buffer.atEnd()) {
            return message;
        }
    } catch (const std::exception &) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "peer message"});
    }
    return leaf::new_error(connection_error {connection_failure::frame_malformed, "trailing bytes"});
}

} // namespace daisystile
