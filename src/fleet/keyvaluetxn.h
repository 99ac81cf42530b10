#pragma once

#include "keyvalueentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A transaction: if all comparisons hold, all values are put; else one key is read.
struct KeyValueTxn
{
    enum class Target : std::uint8_t { CreateRevision, ModRevision };
    /// Holds if the revision of the key is exactly @p revision; 0 for a key that does not exist.
    struct Compare
    {
        std::string key;
        Target target = Target::ModRevision;
        std::int64_t revision = 0;
    };
    struct Put
    {
        std::string key;
        std::string value;
        std::int64_t lease = 0;
    };

    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::string readOnFailure; ///< Empty: nothing is read.
};

/// What came of a transaction.
struct KeyValueTxnResult
{
    bool succeeded = false;
    std::int64_t revision = 0; ///< Of the store; the mod revision of what was put.
    std::optional<KeyValueEntry> read;
};

}
