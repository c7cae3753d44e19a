#pragma once

#include <Version/version.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace daisystile {

/// The members of a region that keep a record, in order of preference, by rendezvous hashing of its key; at most so many.
std::vector<const member *> chooseKeepers(std::uint64_t key, const region_name &region, const std::vector<member> &members, std::size_t count);
/// The same among all members.
std::vector<const member *> chooseKeepers(std::uint64_t key, const std::vector<member> &members, std::size_t count);
/// The same within one failure domain.
std::vector<const member *> chooseInDomain(std::uint64_t key, const failure_domain_name &domain, const std::vector<member> &members, std::size_t count);

} // namespace daisystile
