#include <Connection/connection.h>

#include <cstdlib>

using namespace daisystile;

// A decoded message must survive another round trip: encode, decode, encode gives the same bytes.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        return 0;
    }
    const auto encoded = encodePeerMessage(*message);
    const auto decodedAgain = decodePeerMessage(encoded);
    if (!decodedAgain || encodePeerMessage(*decodedAgain) != encoded) {
        std::abort();
    }
    return 0;
}
