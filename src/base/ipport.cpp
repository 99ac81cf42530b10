#include "cyclamencross/base/ipport.h"

#include "cyclamencross/base/number.h"

#include <limits>

#include <arpa/inet.h>

namespace Cyclamen
{

std::optional<IpPort> parseIpPort(std::string_view text, std::uint16_t minPort)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    IpPort address;
    address.ip = text.substr(0, colon);
    in_addr binary{};
    if (inet_pton(AF_INET, address.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    const auto port = parseNumber(text.substr(colon + 1));
    if (!port || *port < minPort || *port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    address.port = static_cast<std::uint16_t>(*port);
    return address;
}

}
