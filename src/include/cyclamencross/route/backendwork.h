#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Work that routers have placed on one backend server and that is not finished.
struct BackendWork
{
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0; ///< Tokens of prompts still to be read.
    std::int64_t memoryTokens = 0; ///< Tokens that running requests hold at their end.

    BackendWork &operator+=(const BackendWork &other);
    BackendWork &operator-=(const BackendWork &other);

    bool operator==(const BackendWork &) const = default;
};

}
