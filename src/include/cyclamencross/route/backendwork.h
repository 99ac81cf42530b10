#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Unfinished work that routers have placed on one backend server.
struct BackendWork
{
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0; ///< Prompt tokens that still have to be processed.
    std::int64_t memoryTokens = 0; ///< Size of the KV cache, in tokens, that the requests need when they end.

    BackendWork &operator+=(const BackendWork &other);
    BackendWork &operator-=(const BackendWork &other);

    bool operator==(const BackendWork &) const = default;
};

}
