#pragma once

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

/// Returns a TCP port that is free on loopback now.
inline int freePort()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(probe, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(::getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    ::close(probe);
    return ntohs(address.sin_port);
}

}
