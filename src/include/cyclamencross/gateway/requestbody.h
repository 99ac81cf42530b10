#pragma once

#include "cyclamencross/route/memorylease.h"

#include <memory>
#include <string>

namespace Cyclamen
{

/// The body of a request, and the memory that it takes of the router's MemoryBudget. Copies share the bytes, so that a
/// body is held once, however often it is sent. The memory returns to the budget with the last copy.
class RequestBody
{
public:
    /// An empty body.
    RequestBody() = default;
    /// @param lease memory that @p bytes take.
    explicit RequestBody(std::string bytes, MemoryLease lease = MemoryLease());

    const std::string &bytes() const;

    bool operator==(const RequestBody &other) const;

private:
    struct Held;
    std::shared_ptr<const Held> held;
};

}
