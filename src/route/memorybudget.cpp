#include "cyclamencross/route/memorybudget.h"

#include <algorithm>

namespace Cyclamen
{

MemoryBudget::MemoryBudget(std::size_t limit)
    : limitBytes(limit)
{
}

bool MemoryBudget::admit(Use use, std::size_t held, std::size_t added)
{
    const double largeShare = use == Use::RequestBody ? LargeRequestShare : LargeResponseShare;
    const bool isSmall = held <= SmallBodyBytes && added <= SmallBodyBytes - held;
    const std::size_t ceiling = isSmall ? this->limitBytes : std::size_t(double(this->limitBytes) * largeShare);
    if (added > ceiling - std::min(ceiling, this->held)) {
        return false;
    }
    this->held += added;
    return true;
}

void MemoryBudget::release(std::size_t bytes)
{
    this->held -= std::min(this->held, bytes);
}

std::size_t MemoryBudget::heldBytes() const
{
    return this->held;
}

std::size_t MemoryBudget::limit() const
{
    return this->limitBytes;
}

}
