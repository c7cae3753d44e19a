#pragma once

#include <boost/leaf.hpp>

#include <ostream>
#include <string>

namespace daisystile {

namespace leaf = boost::leaf;

enum class process_failure {
    address_malformed,
    address_in_use,
    /// It is not an address of this host, or not yet.
    address_absent,
    address_not_permitted,
    out_of_descriptors,
    library_failed,
};

/// An error of the process library: the kind of failure and the object it concerns, such as an address.
struct process_error
{
    process_failure failure;
    std::string subject;
};

std::ostream &operator<<(std::ostream &stream, const process_error &error);

} // namespace daisystile
