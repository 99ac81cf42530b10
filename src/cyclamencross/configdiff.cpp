#include "configdiff.h"

#include "cyclamencross/base/inifile.h"
#include "cyclamencross/fleet/configtext.h"

#include <algorithm>
#include <iterator>
#include <string_view>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::string_view ExceptionPrefix = "exception ";

// Converts a configuration to the form in which it is stored, with uniform units and order and all built-in values.
// Text that can't be parsed is returned unchanged.
std::string normalise(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(config, parseConfig(text, ""));
            return formatConfig(config);
        },
        [&] { return text; });
}

// Returns one line for each default and one for each exception. The names of exceptions are left out, because
// exceptions are renumbered whenever a configuration is stored.
std::vector<std::string> toLines(const std::vector<IniEntry> &entries)
{
    std::vector<std::string> lines;
    for (const IniEntry &entry : entries) {
        if (entry.section.starts_with(ExceptionPrefix)) {
            if (entry.key.empty()) {
                lines.emplace_back("exception:");
            } else {
                lines.back() += " " + entry.key + " = " + entry.value + ";";
            }
        } else if (!entry.key.empty() && entry.section != "change") {
            lines.push_back(entry.section + "." + entry.key + " = " + entry.value);
        }
    }
    return lines;
}

std::vector<std::string> sortedLines(const std::string &text)
{
    std::vector<std::string> lines = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
            BOOST_LEAF_AUTO(entries, parseIni(normalise(text), ""));
            return toLines(entries);
        },
        [] { return std::vector<std::string>(); });
    std::sort(lines.begin(), lines.end());
    return lines;
}

}

ConfigDiff compareConfig(const std::string &before, const std::string &after)
{
    const std::vector<std::string> beforeLines = sortedLines(before);
    const std::vector<std::string> afterLines = sortedLines(after);
    ConfigDiff diff;
    std::set_difference(beforeLines.begin(), beforeLines.end(), afterLines.begin(), afterLines.end(),
                        std::back_inserter(diff.removed));
    std::set_difference(afterLines.begin(), afterLines.end(), beforeLines.begin(), beforeLines.end(),
                        std::back_inserter(diff.added));
    return diff;
}

std::string format(const ConfigDiff &diff)
{
    std::string text;
    for (const std::string &line : diff.removed) {
        text += "  - " + line + "\n";
    }
    for (const std::string &line : diff.added) {
        text += "  + " + line + "\n";
    }
    return text.empty() ? "  (none)\n" : text;
}

}
