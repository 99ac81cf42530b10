#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Encodes @p data as standard base64 with padding.
std::string toBase64(std::string_view data);
/// Decodes base64 text with padding.
/// @return the decoded bytes, or nothing if @p text is not valid base64.
std::optional<std::string> fromBase64(std::string_view text);

}
