#pragma once

#include <string>
#include <string_view>

namespace Cyclamen
{

/// Returns the tag that each output of an answer to @p prompt carries: the low 32 bits of its FNV-1a hash as 8
/// hexadecimal digits. A caller uses it to check that an answer belongs to its own prompt.
std::string promptTag(std::string_view prompt);

/// Returns the text of the output number @p index of the answer with @p tag.
std::string outputText(const std::string &tag, int index);

}
