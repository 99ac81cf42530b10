#pragma once

#include <string>
#include <string_view>

namespace Cyclamen
{

/// Returns the tag that each output of an answer to @p prompt carries: the low 32 bits of its FNV-1a hash as 8
/// hexadecimal digits. Clients use it to check that an answer belongs to their own prompt.
std::string promptTag(std::string_view prompt);

/// Returns the text of the output with the zero-based @p index in the answer with @p tag.
std::string outputText(const std::string &tag, int index);

}
