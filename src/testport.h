#pragma once

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

/// Returns a port of loopback that is free for TCP and UDP and that this process has not returned before. Lies below
/// the ports of outgoing connections: one of those, of any process, may take such a port before the caller binds to it.
inline int freePort()
{
    constexpr int FirstPort = 15000;
    constexpr int PortCount = 17000;
    // Test programs run at the same time and begin at different ports.
    constexpr int PortsPerProcess = 977;
    static int next = ::getpid() % PortCount * PortsPerProcess % PortCount;
    const auto isFree = [](int type, int port) {
        const int descriptor = ::socket(AF_INET, type, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(descriptor);
        return bound;
    };
    for (int tries = 0; tries < PortCount; ++tries) {
        const int port = FirstPort + next++ % PortCount;
        if (isFree(SOCK_STREAM, port) && isFree(SOCK_DGRAM, port)) {
            return port;
        }
    }
    FAIL("no free port");
    return 0;
}

}
