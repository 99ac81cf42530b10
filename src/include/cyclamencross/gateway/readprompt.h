#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The KV cache of a prompt that a prefill engine has processed and keeps for a decode engine.
struct ReadPrompt
{
    std::string handle; ///< Names the KV cache at the prefill engine.
    std::int64_t tokens = 0; ///< Length of the prompt.

    bool operator==(const ReadPrompt &) const = default;
};

}
