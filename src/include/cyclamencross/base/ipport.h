#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// The IP address and the port of an "IP:PORT" text.
struct IpPort
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const IpPort &) const = default;
};

/// Parses an IPv4 address and a port up to 65535, such as "10.0.3.7:8080".
/// @param minPort lowest accepted port; 0 admits port 0, which lets the system choose a free port on bind().
/// @return the parts, or nothing if @p text has another form. Host names are not accepted.
std::optional<IpPort> parseIpPort(std::string_view text, std::uint16_t minPort = 1);

}
