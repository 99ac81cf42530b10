#pragma once

#include <cstddef>

namespace Cyclamen
{

/// Bounds the memory that a router uses for the bodies of all its requests and responses together. Small bodies may use
/// all of it, larger ones only a part, so that a few callers with large bodies do not shut out the others. Used from
/// one thread.
class MemoryBudget
{
public:
    enum class Use { RequestBody, ResponseBody };

    /// Largest body that counts as small. Most requests are smaller, and all caller connections that a host of 96 MiB
    /// accepts can hold a body of this size at once.
    static constexpr std::size_t SmallBodyBytes = 16U << 10U;
    /// Share of the limit up to which large request bodies are admitted.
    static constexpr double LargeRequestShare = 0.7;
    /// Share of the limit up to which large response bodies are admitted. Greater than that of requests, since a
    /// request whose response cannot be held was executed in vain.
    static constexpr double LargeResponseShare = 0.9;

    /// @param limit bytes that may be held at once.
    explicit MemoryBudget(std::size_t limit);

    /// Admits further bytes of a body if the bound allows it.
    /// @param held bytes that were admitted for this body before.
    /// @param added further bytes.
    /// @return whether they were admitted; if not, nothing has changed.
    bool admit(Use use, std::size_t held, std::size_t added);
    /// Returns bytes that were admitted.
    void release(std::size_t bytes);

    /// Returns the number of bytes that are held now.
    std::size_t heldBytes() const;
    std::size_t limit() const;

private:
    std::size_t limitBytes;
    std::size_t held = 0;
};

}
