#include "settingvalue.h"

#include "cyclamencross/base/ipport.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace Cyclamen
{

namespace
{

constexpr std::size_t MaxNameLength = 48;

std::string_view trimSpaces(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

// Splits "12 ms" into 12 and "ms".
std::optional<std::pair<std::uint64_t, std::string_view>> splitUnit(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return std::pair(number, trimSpaces(text.substr(std::size_t(end - text.data()))));
}

// Returns nothing if the product exceeds the limit.
std::optional<std::uint64_t> multiplyChecked(std::uint64_t number, std::uint64_t factor, std::uint64_t limit)
{
    if (number > limit / factor) {
        return std::nullopt;
    }
    return number * factor;
}

}

std::optional<Millis> parseDuration(std::string_view text)
{
    const auto parts = splitUnit(text);
    if (!parts || (parts->second != "ms" && parts->second != "s")) {
        return std::nullopt;
    }
    const auto value =
        multiplyChecked(parts->first, parts->second == "s" ? 1000 : 1, std::numeric_limits<std::int32_t>::max());
    return value ? std::optional(Millis(*value)) : std::nullopt;
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const auto parts = splitUnit(text);
    if (!parts || (parts->second != "KiB" && parts->second != "MiB")) {
        return std::nullopt;
    }
    return multiplyChecked(parts->first, parts->second == "MiB" ? 1U << 20U : 1U << 10U,
                           std::numeric_limits<std::uint64_t>::max());
}

std::optional<std::vector<std::string>> parseAddressList(std::string_view text)
{
    std::vector<std::string> addresses;
    text = trimSpaces(text);
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view address = trimSpaces(text.substr(0, comma));
        if (!isConnectableAddress(address)) {
            return std::nullopt;
        }
        addresses.emplace_back(address);
        if (comma == std::string_view::npos) {
            break;
        }
        text = trimSpaces(text.substr(comma + 1));
        if (text.empty()) {
            return std::nullopt;
        }
    }
    return addresses;
}

bool isConnectableAddress(std::string_view text)
{
    const auto address = parseIpPort(text);
    return address && address->ip != "0.0.0.0";
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

}
