#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The durable record of a call with a foreign idempotency key, kept in the key-value service.
struct CallRecord
{
    std::string workspace;
    std::string key;
    std::string attempt; ///< Unique to one try at creating the record.
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string adminAddress; ///< Where the owning entry can be asked for the result.
    bool finished = false;
    int status = 0; ///< HTTP status of the finished call; 0 if its outcome is unknown.
    std::string bodyHash; ///< Guards against the same key with a different request.

    bool operator==(const CallRecord &) const = default;
};

}
