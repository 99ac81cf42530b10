#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Conversions of the values in a settings file. Each returns nothing if the text has another form.
namespace Cyclamen
{

/// Converts a duration with the unit ms or s, such as "250ms" or "3 s".
std::optional<Millis> parseDuration(std::string_view text);
/// Converts a size with the unit KiB or MiB to bytes.
std::optional<std::uint64_t> parseSize(std::string_view text);
/// Splits a comma-separated list of "IP:PORT"; an empty text is an empty list.
std::optional<std::vector<std::string>> parseAddressList(std::string_view text);
/// Returns whether @p text is an "IP:PORT" that other hosts can connect to, so not 0.0.0.0.
bool isReachableAddress(std::string_view text);
/// Returns whether @p text is 1 to 48 letters, digits, '-' and '_'. Other characters separate parts of request ids.
bool isPlainName(std::string_view text);

}
