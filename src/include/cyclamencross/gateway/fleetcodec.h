#pragma once

#include "cyclamencross/base/failures.h"
#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/routetable.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace Cyclamen
{

/// Store keys of the configuration and the backend servers, which the platform writes, and decoders of their values.
struct FleetCodec
{
    std::string configKey; ///< Key of the current configuration.
    std::string backendPrefix; ///< Key prefix of the backend servers' registrations; followed by the id.
    std::function<std::variant<RouteTable, InvalidSetting>(std::string_view value)> decodeConfig;
    std::function<std::variant<BackendServer, InvalidSetting>(const std::string &id, std::string_view value)>
        decodeBackend;
};

}
