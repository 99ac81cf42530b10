#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A key of the key-value service with its value, the store revisions of its creation and last change, and its lease.
struct KeyValueEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t lease = 0; ///< 0: none.

    bool operator==(const KeyValueEntry &) const = default;
};

}
