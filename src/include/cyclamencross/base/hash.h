#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Returns the 64-bit xxHash of @p data.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the 128-bit keyed BLAKE2b hash of @p data. The key may have any length.
std::array<std::uint8_t, 16> keyedHashBytes(std::string_view data, std::string_view key);

/// Returns the 128-bit keyed BLAKE2b hash of @p data as 32 lower-case hexadecimal digits. The key may have any length.
std::string keyedHash(std::string_view data, std::string_view key);

/// Returns a non-zero 64-bit number from the system's cryptographic random generator.
std::uint64_t randomNumber();

/// Returns @p number as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t number);

}
