#include "listening_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace daisystile {

static process_failure failureOf(int error)
{
    switch (error) {
    case EADDRINUSE:
        return process_failure::address_in_use;
    case EADDRNOTAVAIL:
        return process_failure::address_absent;
    case EACCES:
    case EPERM:
        return process_failure::address_not_permitted;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
        return process_failure::out_of_descriptors;
    default:
        return process_failure::library_failed;
    }
}

process_error bindError(int error, const ip_address &address)
{
    return {failureOf(error), toString(address)};
}

leaf::result<int> openListeningSocket(const ip_address &address, int backlog)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &local.sin_addr) != 1) {
        return leaf::new_error(process_error {process_failure::address_malformed, toString(address)});
    }
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        return leaf::new_error(bindError(errno, address));
    }
    sharePort(handle);
    if (bind(handle, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || listen(handle, backlog) != 0) {
        const int error = errno;
        close(handle);
        return leaf::new_error(bindError(error, address));
    }
    return handle;
}

ip_address addressOfSocket(int handle)
{
    sockaddr_in local {};
    socklen_t size = sizeof local;
    std::array<char, INET_ADDRSTRLEN> text {};
    if (getsockname(handle, reinterpret_cast<sockaddr *>(&local), &size) != 0 || !inet_ntop(AF_INET, &local.sin_addr, text.data(), text.size())) {
        return {};
    }
    return {text.data(), ntohs(local.sin_port)};
}

// The port of a connection is free for a listener if both sockets say so.
void sharePort(int handle)
{
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

} // namespace daisystile
