#pragma once

#include "cyclamencross/route/storerevision.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The router that gives orders to engines, as recorded in the store under the lease of that router.
struct Leadership
{
    std::string router; ///< Empty if there is no leader.
    std::uint64_t incarnation = 0; ///< Incarnation of the router.
    std::uint64_t lease = 0; ///< Lease under which the record was written; the leadership ends with it.
    /// Store revision of the record. Increases with each new leader; see RouterState::fencingToken().
    StoreRevision revision;

    bool operator==(const Leadership &) const = default;
};

/// Encodes a leader's record as the value of a store item.
std::string encodeLeadership(const Leadership &leadership);
/// Decodes the value of a store item; std::nullopt if it is malformed.
/// @param revision revision of the item.
std::optional<Leadership> decodeLeadership(const std::string &text, StoreRevision revision);

}
