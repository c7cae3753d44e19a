#include <Connection/connection.h>

#include <cstdlib>
#include <vector>

using namespace daisystile;

static std::vector<std::string> framesOf(std::string_view bytes, std::size_t step)
{
    frame_reader reader;
    std::vector<std::string> frames;
    while (!bytes.empty()) {
        const auto part = bytes.substr(0, step);
        bytes.remove_prefix(part.size());
        reader.feed(part);
        std::string_view payload;
        for (;;) {
            const auto found = reader.next(payload);
            if (!found) {
                return frames;
            }
            if (!*found) {
                break;
            }
            frames.emplace_back(payload);
        }
    }
    return frames;
}

// How the bytes are cut must not change the frames.
// NOLINTNEXTLINE(readability-identifier-naming): the library calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (framesOf(bytes, 1) != framesOf(bytes, size + 1)) {
        std::abort();
    }
    return 0;
}
