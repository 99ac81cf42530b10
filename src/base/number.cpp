#include "cyclamencross/base/number.h"

#include <charconv>

namespace Cyclamen
{

namespace
{

std::optional<std::uint64_t> parseDigits(std::string_view digits, int base)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number, base);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return number;
}

}

std::optional<std::uint64_t> parseNumber(std::string_view digits)
{
    return parseDigits(digits, 10);
}

std::optional<std::uint64_t> parseHex(std::string_view digits)
{
    return parseDigits(digits, 16);
}

}
