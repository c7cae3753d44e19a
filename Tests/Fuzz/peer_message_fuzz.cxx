#include <Connection/connection.h>

#include <cstdlib>

using namespace daisystile;

// What decodes must encode to bytes that decode to the same again.
// NOLINTNEXTLINE(readability-identifier-naming): the library calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        return 0;
    }
    const auto encoded = encodePeerMessage(*message);
    const auto again = decodePeerMessage(encoded);
    if (!again || encodePeerMessage(*again) != encoded) {
        std::abort();
    }
    return 0;
}
