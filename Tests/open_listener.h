#pragma once

#include <Process/process.h>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisystile {

/// A listening socket on an ephemeral loopback port; closed by the destructor.
struct open_listener
{
    explicit open_listener(int backlog)
        : handle(socket(AF_INET, SOCK_STREAM, 0))
    {
        socklen_t size = sizeof address;
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(handle, reinterpret_cast<const sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(handle, backlog), 0);
        EXPECT_EQ(getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size), 0);
    }

    ~open_listener()
    {
        close(handle);
    }

    open_listener(const open_listener &) = delete;
    open_listener &operator=(const open_listener &) = delete;

    ip_address listenAddress() const
    {
        return {"127.0.0.1", ntohs(address.sin_port)};
    }

    int handle;
    sockaddr_in address {};
};

} // namespace daisystile
