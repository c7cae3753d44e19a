#pragma once

#include "process_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisystile {

/// An IPv4 address in dotted decimal notation and a port; port 0 lets the system choose a free port.
struct ip_address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const ip_address &) const = default;

    template<class Archive> void serialize(Archive &archive)
    {
        archive(host, port);
    }
};

/// Parses "IP:PORT". Errors: process_error{address_malformed}.
leaf::result<ip_address> parseIpAddress(std::string_view text);
std::string toString(const ip_address &address);

} // namespace daisystile
