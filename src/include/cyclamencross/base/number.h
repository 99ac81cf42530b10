#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Cyclamen
{

/// Parses an unsigned decimal number without sign, unit or white space.
/// @return the number, or nothing for any other text and for numbers above 64 bits.
std::optional<std::uint64_t> parseNumber(std::string_view digits);

/// Parses an unsigned hexadecimal number without prefix, sign or white space.
/// @return the number, or nothing for any other text and for numbers above 64 bits.
std::optional<std::uint64_t> parseHex(std::string_view digits);

}
