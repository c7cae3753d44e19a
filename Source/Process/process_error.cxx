#include "process_error.h"

namespace daisystile {

static const char *describe(process_failure failure)
{
    switch (failure) {
    case process_failure::address_malformed:
        return "address must have the form IP:PORT";
    case process_failure::address_in_use:
        return "address is taken";
    case process_failure::address_absent:
        return "address is not one of this host";
    case process_failure::address_not_permitted:
        return "no permission to listen on the address";
    case process_failure::out_of_descriptors:
        return "no file descriptor is available";
    case process_failure::library_failed:
        return "library call failed";
    }
    return "unknown failure";
}

std::ostream &operator<<(std::ostream &stream, const process_error &error)
{
    return stream << describe(error.failure) << ": " << error.subject;
}

} // namespace daisystile
