#pragma once

#include "fault.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// The faults that a stand-in was told to show. Thread-safe.
class Faults
{
public:
    /// Adds @p fault and returns its id.
    std::uint64_t add(Fault fault);
    /// Removes the faults of @p kind, or all if it is empty, and ends their stalls.
    void clear(std::string_view kind);
    /// Returns the first fault of @p kind that applies to a request and counts the use.
    std::optional<Fault> take(std::string_view kind, std::string_view path = {}, std::string_view body = {});
    /// Returns the delay of an active fault of @p kind, or 0, without counting a use.
    Millis delayOf(std::string_view kind) const;
    /// Waits until @p fault is cleared, its delay has passed (if it has one) or the peer has closed the connection.
    void stall(const Fault &fault);
    /// Returns the active faults as a JSON array.
    std::string list() const;

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<Fault> faults;
    std::uint64_t nextId = 1;
};

}
