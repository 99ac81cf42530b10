#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// An address in the form "IP:PORT", taken apart.
struct IpPort
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const IpPort &) const = default;
};

/// Takes apart an IPv4 address and a port up to 65535, such as "10.0.3.7:8080".
/// @param leastPort 0 also accepts port 0, which stands for any free port when a socket is bound.
/// @return nothing if @p text has another form; host names are not accepted.
std::optional<IpPort> parseIpPort(std::string_view text, std::uint16_t leastPort = 1);

}
