#pragma once

#include "cyclamencross/route/memorybudget.h"

#include <cstddef>
#include <memory>

namespace Cyclamen
{

/// The part of a MemoryBudget that one body uses. Returned to the budget when the object is destroyed. Without a budget
/// it admits everything. Used from one thread.
class MemoryLease
{
public:
    MemoryLease() = default;
    /// Takes nothing from @p budget yet.
    MemoryLease(std::shared_ptr<MemoryBudget> budget, MemoryBudget::Use use);
    ~MemoryLease();
    MemoryLease(MemoryLease &&other) noexcept;
    MemoryLease &operator=(MemoryLease &&other) noexcept;
    MemoryLease(const MemoryLease &) = delete;
    MemoryLease &operator=(const MemoryLease &) = delete;

    /// Increases the size of the lease to @p bytes; does nothing if it is at least as large.
    /// @return whether the budget admits it; if not, the lease keeps its size.
    bool growTo(std::size_t bytes);
    /// Decreases the size of the lease to @p bytes; does nothing if it is at most as large.
    void shrinkTo(std::size_t bytes);
    /// Returns all bytes to the budget.
    void release();
    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryBudget> budget;
    MemoryBudget::Use use = MemoryBudget::Use::RequestBody;
    std::size_t held = 0;
};

}
