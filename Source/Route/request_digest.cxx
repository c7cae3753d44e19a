#include "request_digest.h"

#include <charconv>
#include <cstdio>

namespace daisystile {

namespace {

constexpr std::size_t digitsPerHalf = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t half = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), half, hexadecimal);
    if (code != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return half;
}

} // namespace

// Each field is preceded by its length, so that no two sequences of fields give the same text.
request_digest digestOf(std::string_view host, std::string_view method, std::string_view target, std::string_view body)
{
    std::string text;
    text.reserve(host.size() + method.size() + target.size() + body.size() + 32);
    for (const auto field : {host, method, target, body}) {
        text.append(std::to_string(field.size())).append(":").append(field);
    }
    return parseRequestDigest(std::string_view(sha256Hex(text)).substr(0, 2 * digitsPerHalf)).value_or(request_digest {});
}

std::string toString(const request_digest &digest)
{
    char text[2 * digitsPerHalf + 1];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(digest.high), static_cast<unsigned long long>(digest.low));
    return text;
}

std::optional<request_digest> parseRequestDigest(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf) {
        return std::nullopt;
    }
    const auto high = parseHalf(text.substr(0, digitsPerHalf));
    const auto low = parseHalf(text.substr(digitsPerHalf));
    return high && low ? std::optional(request_digest {*high, *low}) : std::nullopt;
}

} // namespace daisystile
