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

/// Names the keys of the store that others write, and decodes their values.
struct FleetCodec
{
    std::string configKey; ///< Key of the newest configuration.
    std::string backendPrefix; ///< Prefix under which backend servers register, followed by their id.
    std::function<std::variant<RouteTable, InvalidSetting>(std::string_view value)> decodeConfig;
    std::function<std::variant<BackendServer, InvalidSetting>(const std::string &id, std::string_view value)>
        decodeBackend;
};

}
