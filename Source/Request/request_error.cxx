#include "request_error.h"

namespace daisystile {

static const char *describe(request_failure failure)
{
    switch (failure) {
    case request_failure::body_malformed:
        return "body is not a JSON object";
    case request_failure::field_missing:
        return "missing";
    case request_failure::field_invalid:
        return "has the wrong type or value";
    case request_failure::field_unknown:
        return "unknown field";
    case request_failure::token_missing:
        return "no bearer token";
    case request_failure::token_refused:
        return "token refused";
    case request_failure::service_not_allowed:
        return "service not in the contract";
    case request_failure::service_unknown:
        return "service unknown";
    case request_failure::path_unknown:
        return "no such resource";
    case request_failure::method_not_allowed:
        return "method not allowed";
    case request_failure::address_in_use:
        return "address can't be bound";
    }
    return "unknown failure";
}

std::ostream &operator<<(std::ostream &stream, const request_error &error)
{
    return stream << error.subject << ": " << describe(error.failure);
}

} // namespace daisystile
