#pragma once

#include "connection_error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace daisystile {

struct datagram_counts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
};

/// A bound UDP socket on one reactor; datagrams may be lost, duplicated and reordered.
class datagram_socket
{
public:
    using handler = std::function<void(const ip_address &from, std::string_view bytes)>;

    /// Errors: those of openListeningSocket().
    static leaf::result<std::unique_ptr<datagram_socket>> open(reactor &loop, const ip_address &address, handler handle);

    datagram_socket();
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    ip_address address() const;
    /// Drops the datagram when the system can't accept it immediately.
    void send(const ip_address &to, std::string_view bytes);
    datagram_counts counts() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
