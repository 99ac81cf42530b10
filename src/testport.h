#pragma once

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

/// Returns a TCP port that is currently free on loopback. Another process may take it before the caller binds to it.
inline int freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

}
