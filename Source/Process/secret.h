#pragma once

#include <string>
#include <string_view>

namespace daisystile {

/// SHA-256 in lower-case hexadecimal; contracts and settings hold tokens in this form only.
std::string sha256Hex(std::string_view text);
/// HMAC-SHA-256, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view text);
/// Unpredictable bytes for challenges and incarnation-free ids.
std::string randomBytes(std::size_t count);

} // namespace daisystile
