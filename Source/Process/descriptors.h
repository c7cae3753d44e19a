#pragma once

#include <cstddef>

namespace daisystile {

/// Opens /dev/null in the place of each standard descriptor that is closed. Call it first in main(): a descriptor opened later
/// would get its number, and output would go there.
void openStandardDescriptors();

/// The number of file descriptors that the process may have open and its event loops can watch.
std::size_t allowedDescriptors();

/// How many of the allowed descriptors connections of clients may use. The rest is for files, and for the connections to backend
/// servers, daemons and the store that their requests need.
std::size_t clientDescriptors(std::size_t allowed);

/// How many of the allowed descriptors connections to the operators' and readiness address may use.
std::size_t operatorDescriptors(std::size_t allowed);

} // namespace daisystile
