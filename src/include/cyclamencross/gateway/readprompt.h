#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The memory of a prompt that an engine has read.
struct ReadPrompt
{
    std::string handle;
    std::int64_t tokens = 0;

    bool operator==(const ReadPrompt &) const = default;
};

}
