#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The durable record of a call whose idempotency key was chosen by the caller instead of issued by an entry. It is
/// kept in the key-value service.
struct CallRecord
{
    std::string workspace;
    std::string key;
    std::string attempt; ///< Unique id of one attempt to create the record.
    std::string entry; ///< Name of the owning entry, which runs the call.
    std::uint64_t incarnation = 0; ///< Incarnation of the owning entry.
    std::string adminAddress; ///< Admin address of the owning entry, which returns the result.
    bool finished = false;
    int status = 0; ///< HTTP status of the finished call; 0 if its outcome is unknown.
    std::string bodyHash; ///< Keyed hash of method, path and body; detects reuse of the key for a different request.

    bool operator==(const CallRecord &) const = default;
};

}
