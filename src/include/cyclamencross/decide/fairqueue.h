#pragma once

#include "cyclamencross/base/slotask.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Asks that wait for room, ordered by priority, then by start-time fair queuing among workspaces, then by age.
/// A workspace that was idle starts level with the one served last, so it gains nothing from having been idle.
class FairQueue
{
public:
    struct Waiting
    {
        SlotAsk ask;
        TimePoint since;
    };

    /// Adds an ask, or replaces the one with the same request id, which keeps its age.
    void add(const SlotAsk &ask, TimePoint now);
    /// Returns the waiting ask of @p requestId, or null.
    const Waiting *find(const std::string &requestId) const;
    /// Removes and returns all asks for which @p isRemoved is true.
    std::vector<Waiting> removeIf(const std::function<bool(const Waiting &)> &isRemoved);
    /// Returns the next ask to serve, or null; it stays in the queue.
    const Waiting *front() const;
    /// Takes the front out and charges its workspace.
    Waiting serveFront();
    /// Returns the asks in the order in which they would be served if no more came.
    std::vector<const Waiting *> inOrder() const;
    std::size_t size() const;

private:
    double servedOf(const std::string &workspace) const;

    std::vector<Waiting> waiting; // oldest first
    std::map<std::string, double> served;
    double level = 0; // service received by the workspace that was served last
};

}
