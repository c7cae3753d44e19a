#pragma once

#include <Connection/connection.h>

#include <ostream>
#include <string>

namespace daisystile {

enum class request_failure {
    body_malformed,
    field_missing,
    field_invalid,
    field_unknown,
    token_missing,
    token_refused,
    service_not_allowed,
    service_unknown,
    path_unknown,
    method_not_allowed,
    address_in_use,
};

/// Error of the request layer: the failure and the field, header or resource that it concerns.
struct request_error
{
    request_failure failure;
    std::string subject;
};

std::ostream &operator<<(std::ostream &stream, const request_error &error);

} // namespace daisystile
