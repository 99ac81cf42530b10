#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace Cyclamen
{

/// Hash of an API key, with a secret that each process draws at its start. Callers can't choose keys with similar
/// hashes, so the time that a look-up takes tells nothing about the keys that exist.
class ApiKeyHash
{
public:
    explicit ApiKeyHash(std::string_view apiKey);

    auto operator<=>(const ApiKeyHash &) const = default;

private:
    std::array<std::uint8_t, 16> bytes;
};

}
