#include "cyclamencross/route/memorylease.h"

#include <utility>

namespace Cyclamen
{

MemoryLease::MemoryLease(std::shared_ptr<MemoryBudget> budget, MemoryBudget::Use use)
    : budget(std::move(budget))
    , use(use)
{
}

MemoryLease::~MemoryLease()
{
    this->release();
}

MemoryLease::MemoryLease(MemoryLease &&other) noexcept
    : budget(std::move(other.budget))
    , use(other.use)
    , held(std::exchange(other.held, 0))
{
}

MemoryLease &MemoryLease::operator=(MemoryLease &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->budget = std::move(other.budget);
        this->use = other.use;
        this->held = std::exchange(other.held, 0);
    }
    return *this;
}

bool MemoryLease::growTo(std::size_t bytes)
{
    if (bytes <= this->held) {
        return true;
    }
    if (this->budget && !this->budget->admit(this->use, this->held, bytes - this->held)) {
        return false;
    }
    this->held = bytes;
    return true;
}

void MemoryLease::shrinkTo(std::size_t bytes)
{
    if (bytes >= this->held) {
        return;
    }
    const std::size_t surplus = std::exchange(this->held, bytes) - bytes;
    if (this->budget) {
        this->budget->release(surplus);
    }
}

void MemoryLease::release()
{
    this->shrinkTo(0);
}

std::size_t MemoryLease::bytes() const
{
    return this->held;
}

}
