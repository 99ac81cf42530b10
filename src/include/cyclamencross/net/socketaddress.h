#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// An IPv4 address and a port in text form.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
};

/// Returns the parts of "IP:PORT", or nothing if @p text has another form.
std::optional<SocketAddress> parseAddress(const std::string &text);

}
