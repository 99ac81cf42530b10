#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Returns the 64-bit xxHash of @p data.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the keyed BLAKE2b hash of @p data under @p key as 32 lower-case hexadecimal digits.
std::string keyedHash(std::string_view data, std::string_view key);

/// Returns a 64-bit random number from the system's generator, never 0.
std::uint64_t randomNumber();

/// Returns @p number as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t number);

}
