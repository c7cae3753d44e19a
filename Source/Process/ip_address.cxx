#include "ip_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace daisystile {

leaf::result<ip_address> parseIpAddress(std::string_view text)
{
    const auto malformed = [&] {
        return leaf::new_error(process_error {process_failure::address_malformed, std::string(text)});
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed();
    }
    ip_address address;
    address.host = std::string(text.substr(0, colon));
    in_addr binary {};
    if (inet_pton(AF_INET, address.host.c_str(), &binary) != 1) {
        return malformed();
    }
    const auto port = text.substr(colon + 1);
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (code != std::errc {} || end != port.data() + port.size() || port.empty()) {
        return malformed();
    }
    return address;
}

std::string toString(const ip_address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace daisystile
