#pragma once

#include "cyclamencross/base/failures.h"

#include <functional>
#include <optional>
#include <string>

namespace Cyclamen
{

/// One `name = value` line of an INI text.
struct IniLine
{
    std::string section;
    std::string name;
    std::string value;
    int line = 0;

    bool operator==(const IniLine &) const = default;
};

/// Returns what was expected instead if the line is wrong, or nothing.
using IniVisitor = std::function<std::optional<std::string>(const IniLine &)>;

/// Passes each line of @p text to @p visitor. A key that appears twice in a section is refused.
/// @return the first fault, if any; its member file is empty.
std::optional<InvalidSetting> readIni(const std::string &text, const IniVisitor &visitor);

}
