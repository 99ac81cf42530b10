#pragma once

#include <string>

namespace Cyclamen
{

/// Returns @p data in base64 with padding.
std::string encodeBase64(const std::string &data);

/// Returns the bytes of @p text, which is base64 with padding; an empty text if it isn't valid.
std::string decodeBase64(const std::string &text);

}
