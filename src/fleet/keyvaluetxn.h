#pragma once

#include "keyvalueentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A transaction: if all comparisons hold, all values are put, otherwise one key is read.
struct KeyValueTxn
{
    enum class Target : std::uint8_t { CreateRevision, ModRevision };
    /// Holds if the create or mod revision of the key, as selected by `target`, equals `revision`. Both are 0 for a key
    /// that does not exist.
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
        std::int64_t lease = 0; ///< 0: none.
    };

    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::string readOnFailure; ///< Key to read if a comparison fails; empty: none.
};

/// Result of a transaction.
struct KeyValueTxnResult
{
    bool succeeded = false; ///< Whether all comparisons held.
    std::int64_t revision = 0; ///< Revision of the store, which is the mod revision of the values put.
    std::optional<KeyValueEntry> read; ///< The entry of readOnFailure, if it was read and exists.
};

}
