#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Cyclamen
{

/// Converts a whole number without sign, unit or blanks; returns nothing for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view digits);

/// Converts 1 to 16 hexadecimal digits; returns nothing for any other text.
std::optional<std::uint64_t> parseHex(std::string_view digits);

}
