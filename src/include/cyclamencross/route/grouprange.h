#pragma once

#include <cstddef>

namespace Cyclamen
{

/// The groups of routers that use a backend server: @ref count groups from the index @ref first on.
struct GroupRange
{
    std::size_t first = 0;
    std::size_t count = 1; ///< More than 1 if several groups share the backend server.

    /// Returns whether the group with the index @p group is among them.
    bool contains(std::size_t group) const
    {
        return group >= this->first && group - this->first < this->count;
    }

    bool operator==(const GroupRange &) const = default;
};

}
