#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A key of the key-value service with its value.
struct KeyValueEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;

    bool operator==(const KeyValueEntry &) const = default;
};

}
