#include "relay_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

sockaddr_in toSocketAddress(const ip_address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

ip_address fromSocketAddress(const sockaddr_in &address)
{
    char host[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
    return {host, ntohs(address.sin_port)};
}

int openSocket(int type)
{
    return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int bindSocket(int type, const ip_address &address)
{
    const int handle = openSocket(type);
    const auto socketAddress = toSocketAddress(address);
    if (bind(handle, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) != 0) {
        close(handle);
        return -1;
    }
    return handle;
}

ip_address boundAddress(int handle)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    return fromSocketAddress(address);
}

void closeWithReset(int handle)
{
    const linger now {.l_onoff = 1, .l_linger = 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(handle);
}

} // namespace daisystile
