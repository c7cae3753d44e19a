#include <Process/process.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

using namespace daisystile;

static std::vector<int> readStatuses(std::string_view bytes, std::size_t chunkBytes)
{
    response_reader reader({.headBytes = 1024, .bodyBytes = 4096});
    byte_queue input;
    std::vector<int> statuses;
    while (!bytes.empty()) {
        input.append(bytes.substr(0, chunkBytes));
        bytes.remove_prefix(std::min(chunkBytes, bytes.size()));
        auto progress = reader.read(input);
        while (progress == read_progress::complete) {
            statuses.push_back(reader.take().status);
            progress = input.empty() ? read_progress::incomplete : reader.read(input);
        }
        if (progress != read_progress::incomplete) {
            return statuses;
        }
    }
    return statuses;
}

// Only final statuses are read, and they don't depend on how the bytes are split.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto statuses = readStatuses(bytes, size + 1);
    if (!std::all_of(statuses.begin(), statuses.end(), [](int status) { return isFinalStatus(status); }) || readStatuses(bytes, 1) != statuses) {
        std::abort();
    }
    return 0;
}
