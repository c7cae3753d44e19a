#include "keeper_choice.h"

#include <algorithm>

namespace daisystile {

template<class Eligible>
static std::vector<const member *> chooseHighestRanked(std::uint64_t key, const std::vector<member> &members, std::size_t count, Eligible eligible)
{
    std::vector<std::pair<std::uint64_t, const member *>> ranked;
    for (const auto &entry : members) {
        if ((entry.state == member_state::alive || entry.state == member_state::suspect) && eligible(entry)) {
            ranked.emplace_back(stableHash(entry.id.value, key), &entry);
        }
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<const member *> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(ranked[i].second);
    }
    return chosen;
}

std::vector<const member *> chooseKeepers(std::uint64_t key, const region_name &region, const std::vector<member> &members, std::size_t count)
{
    return chooseHighestRanked(key, members, count, [&region](const member &entry) { return entry.region == region; });
}

std::vector<const member *> chooseKeepers(std::uint64_t key, const std::vector<member> &members, std::size_t count)
{
    return chooseHighestRanked(key, members, count, [](const member &) { return true; });
}

std::vector<const member *> chooseInDomain(std::uint64_t key, const failure_domain_name &domain, const std::vector<member> &members, std::size_t count)
{
    return chooseHighestRanked(key, members, count, [&domain](const member &entry) { return entry.domain == domain; });
}

} // namespace daisystile
