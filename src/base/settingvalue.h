#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parsers for the values of a settings file. Each returns nothing if the text is malformed or its value overflows.
namespace Cyclamen
{

/// Parses a duration with the unit ms or s, such as "250ms" or "3 s"; at most 2^31 - 1 ms.
std::optional<Millis> parseDuration(std::string_view text);
/// Parses a size with the unit KiB or MiB and returns it in bytes.
std::optional<std::uint64_t> parseSize(std::string_view text);
/// Splits a comma-separated list of "IP:PORT"; an empty text is an empty list.
std::optional<std::vector<std::string>> parseAddressList(std::string_view text);
/// Returns whether @p text is an "IP:PORT" that other hosts can connect to, which excludes 0.0.0.0.
bool isConnectableAddress(std::string_view text);
/// Returns whether @p text is 1 to 48 letters, digits, '-' and '_'. Request ids use other characters as
/// separators between names.
bool isValidName(std::string_view text);

}
