#pragma once

#include "cyclamencross/route/kvcacheforecast.h"

#include <cstdint>

namespace Cyclamen
{

/// Unfinished work that routers have placed on one backend server.
struct BackendWork
{
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0; ///< Prompt tokens that still have to be processed.
    KvCacheForecast kvCache; ///< Tokens that the requests keep in the KV cache.

    BackendWork &operator+=(const BackendWork &other);
    BackendWork &operator-=(const BackendWork &other);

    bool operator==(const BackendWork &) const = default;
};

}
