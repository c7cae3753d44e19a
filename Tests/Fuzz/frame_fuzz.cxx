#include <Connection/connection.h>

#include <cstdlib>
#include <vector>

using namespace daisystile;

static std::vector<std::string> readFrames(std::string_view bytes, std::size_t chunkBytes)
{
    frame_reader reader;
    std::vector<std::string> frames;
    while (!bytes.empty()) {
        const auto chunk = bytes.substr(0, chunkBytes);
        bytes.remove_prefix(chunk.size());
        reader.feed(chunk);
        std::string_view payload;
        for (;;) {
            const auto result = reader.next(payload);
            if (!result) {
                return frames;
            }
            if (!*result) {
                break;
            }
            frames.emplace_back(payload);
        }
    }
    return frames;
}

// The frames must not depend on how the byte stream is split into reads.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (readFrames(bytes, 1) != readFrames(bytes, size + 1)) {
        std::abort();
    }
    return 0;
}
