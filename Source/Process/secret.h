#pragma once

#include <array>
#include <compare>
#include <string>
#include <string_view>

namespace daisystile {

/// SHA-256, as raw bytes.
struct sha256_digest
{
    std::array<unsigned char, 32> bytes {};

    auto operator<=>(const sha256_digest &) const = default;
};

sha256_digest sha256(std::string_view text);
/// Takes a time that doesn't tell where the two differ.
bool equalInConstantTime(const sha256_digest &left, const sha256_digest &right);

/// SHA-256 in lower-case hexadecimal; contracts and settings store tokens only in this form.
std::string sha256Hex(std::string_view text);
/// HMAC-SHA-256, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view text);
/// Cryptographically secure random bytes, for challenges and for ids that don't depend on the incarnation.
std::string randomBytes(std::size_t count);

} // namespace daisystile
