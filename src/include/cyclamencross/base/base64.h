#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Returns @p data in base64 with padding.
std::string toBase64(std::string_view data);
/// Returns the bytes that @p text stands for, or nothing if it is not base64.
std::optional<std::string> fromBase64(std::string_view text);

}
