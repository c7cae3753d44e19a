#include "memory_relief.h"

#include <algorithm>
#include <iterator>

namespace daisystile {

namespace {

double secondsSince(monotonic_time point, monotonic_time now)
{
    return std::chrono::duration<double>(now - point).count();
}

// A client that makes no progress counts as if it had held its memory for up to twice as long.
double costOf(const memory_holder &holder, monotonic_time now)
{
    return static_cast<double>(holder.bytes) * (secondsSince(holder.since, now) + secondsSince(holder.progressAt, now));
}

} // namespace

std::vector<std::uint64_t> connectionsToClose(std::vector<memory_holder> holders, std::size_t excessBytes, monotonic_time now)
{
    std::sort(holders.begin(), holders.end(), [now](const auto &left, const auto &right) { return costOf(left, now) > costOf(right, now); });
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (std::size_t i = 0; i + 1 < holders.size() && freed < excessBytes; ++i) {
        chosen.push_back(holders[i].connection);
        freed += holders[i].bytes;
    }
    return chosen;
}

std::vector<std::uint64_t> stalledConnections(std::vector<memory_holder> holders, std::size_t count, milliseconds minStall, monotonic_time now)
{
    std::erase_if(holders, [&](const auto &holder) { return now - holder.progressAt < minStall; });
    const auto chosenCount = std::min(count, holders.size());
    const auto end = holders.begin() + static_cast<std::ptrdiff_t>(chosenCount);
    std::partial_sort(holders.begin(), end, holders.end(), [](const auto &left, const auto &right) { return left.progressAt < right.progressAt; });
    std::vector<std::uint64_t> chosen;
    std::transform(holders.begin(), end, std::back_inserter(chosen), [](const auto &holder) { return holder.connection; });
    return chosen;
}

bool mayStartRequest(bool budgetExceeded, std::size_t runningRequests)
{
    return !budgetExceeded || runningRequests == 0;
}

} // namespace daisystile
