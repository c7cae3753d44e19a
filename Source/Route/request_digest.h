#pragma once

#include <Process/process.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisystile {

/// Identifies requests with the same host, method, target and body, on all daemons. 128 bits of a cryptographic hash, so that
/// nobody can craft a request that is taken for another one.
struct request_digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_digest &) const = default;
};

request_digest digestOf(std::string_view host, std::string_view method, std::string_view target, std::string_view body);

/// 32 hexadecimal digits.
std::string toString(const request_digest &digest);
/// Nothing unless the text is 32 hexadecimal digits.
std::optional<request_digest> parseRequestDigest(std::string_view text);

} // namespace daisystile
