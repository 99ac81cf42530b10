#pragma once

#include "cyclamencross/gateway/fleetcodec.h"

namespace Cyclamen
{

/// Returns a codec of tests: each entry under "servers/" is a plain backend server, and each configuration is invalid.
inline FleetCodec makeFixtureCodec()
{
    FleetCodec codec;
    codec.configKey = "op/config";
    codec.backendPrefix = "servers/";
    codec.decodeConfig = [](std::string_view /*value*/) { return InvalidSetting{}; };
    codec.decodeBackend = [](const std::string &id, std::string_view /*value*/) {
        return BackendServer{id, "s", "10.0.0.1:1", "z", false, EngineStage::None, 1, 0};
    };
    return codec;
}

}
