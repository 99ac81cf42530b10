#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Expected output of a stream.
struct OutputEstimate
{
    std::int64_t tokens = 0; ///< Expected number of output tokens, at most the caller's limit.
    double tokensPerEvent = 0; ///< 0 if not known.
    double millisPerToken = 0; ///< Time between two tokens; 0 if not known.

    bool operator==(const OutputEstimate &) const = default;
};

}
