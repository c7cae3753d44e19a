#pragma once

#include <array>
#include <string_view>

namespace daisystile {

/// What may stand after "HTTP/1.1 " in a status line, but is no status.
constexpr std::array<std::string_view, 12>
    oddStatusLines {"000 None", "099 Low", "600 High", "999 High", "20 Short", "2000 Long", "+20 Signed", "-20 Signed", " 200 OK", "2 0 OK", "abc OK", ""};

} // namespace daisystile
