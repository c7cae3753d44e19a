#include "descriptors.h"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace daisystile {

namespace {

// The tables of the event loops grow with this number.
constexpr std::size_t maxWatchedDescriptors = 16384;
// Platforms keep this many for files; a small limit leaves them an eighth.
constexpr std::size_t maxFileDescriptors = 200;
constexpr std::size_t fileShareDivisor = 8;
// A request that is being answered holds its client's connection and at least one to a server.
constexpr std::size_t connectionsPerRequest = 2;
constexpr std::size_t operatorShareDivisor = 16;

} // namespace

// open() returns the lowest free number, so each one below is taken when a number above is reached.
void openStandardDescriptors()
{
    int handle = open("/dev/null", O_RDWR);
    while (handle >= 0 && handle <= STDERR_FILENO) {
        handle = open("/dev/null", O_RDWR);
    }
    if (handle > STDERR_FILENO) {
        close(handle);
    }
}

std::size_t allowedDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return maxWatchedDescriptors;
    }
    return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, maxWatchedDescriptors));
}

std::size_t clientDescriptors(std::size_t allowed)
{
    const auto files = std::min(maxFileDescriptors, allowed / fileShareDivisor);
    return std::max<std::size_t>((allowed - files) / connectionsPerRequest, 1);
}

std::size_t operatorDescriptors(std::size_t allowed)
{
    return std::max<std::size_t>(allowed / operatorShareDivisor, 1);
}

} // namespace daisystile
