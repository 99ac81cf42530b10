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

/// The faults that are injected into an emulator. Thread-safe.
class Faults
{
public:
    /// Adds @p fault and returns its id.
    std::uint64_t add(Fault fault);
    /// Removes the faults of @p kind, or all if it is empty, and ends the stalls that they cause.
    void clear(std::string_view kind);
    /// Returns the first fault of @p kind that applies to a request, and decrements its remaining uses.
    std::optional<Fault> consume(std::string_view kind, std::string_view path = {}, std::string_view body = {});
    /// Returns the delay of the first fault of @p kind, or 0 if there is none. Its remaining uses stay.
    Millis delayOf(std::string_view kind) const;
    /// Blocks until @p fault is cleared, its delay (if any) has passed, or the peer has closed the connection.
    void waitWhileStalled(const Fault &fault);
    /// Returns the faults as a JSON array.
    std::string list() const;

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<Fault> faults;
    std::uint64_t nextId = 1;
};

}
