#pragma once

#include <array>
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

    bool operator==(const ApiKeyHash &) const = default;
    bool operator<(const ApiKeyHash &other) const;

private:
    std::array<std::uint8_t, 16> bytes;
};

}
