#pragma once

#include <compare>
#include <cstdint>

namespace Cyclamen
{

/// A revision of the store: the number that it has given to a change, in one of its generations. Each time that the
/// store returns from an older copy of itself its generation rises and numbers are given out again, so a number alone
/// does not tell which of two changes is newer. Immutable. The default is older than all changes.
class StoreRevision
{
public:
    constexpr StoreRevision() = default;
    /// A revision of a store that names no generation.
    // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
    constexpr StoreRevision(std::uint64_t number)
        : changeNumber(number)
    {
    }
    constexpr StoreRevision(std::uint64_t generation, std::uint64_t number)
        : storeGeneration(generation)
        , changeNumber(number)
    {
    }

    constexpr std::uint64_t generation() const
    {
        return this->storeGeneration;
    }
    constexpr std::uint64_t number() const
    {
        return this->changeNumber;
    }

    /// Orders by generation, then by number.
    // The check takes the zero of the generated comparison for a null pointer.
    constexpr auto operator<=>(const StoreRevision &) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::uint64_t storeGeneration = 0;
    std::uint64_t changeNumber = 0;
};

}
