#pragma once

#include <Version/version.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace daisystile {

/// Chooses up to count members of a region as keepers of a record by rendezvous hashing of its key, in order of
/// preference.
std::vector<const member *> chooseKeepers(std::uint64_t key, const region_name &region, const std::vector<member> &members, std::size_t count);
/// Chooses among all members.
std::vector<const member *> chooseKeepers(std::uint64_t key, const std::vector<member> &members, std::size_t count);
/// Chooses within one failure domain.
std::vector<const member *> chooseInDomain(std::uint64_t key, const failure_domain_name &domain, const std::vector<member> &members, std::size_t count);

} // namespace daisystile
