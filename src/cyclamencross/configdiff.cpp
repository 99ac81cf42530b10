#include "configdiff.h"

#include "cyclamencross/base/inifile.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::array<std::string_view, 3> RevisionKeys{"revision", "id", "author"};

bool namesRevision(const IniEntry &entry)
{
    // Exceptions have an author of their own, which is part of the change.
    return entry.section == "change"
        && std::find(RevisionKeys.begin(), RevisionKeys.end(), entry.key) != RevisionKeys.end();
}

std::vector<std::string> sortedLines(const std::string &text)
{
    std::vector<std::string> lines;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(entries, parseIni(text, ""));
            for (const IniEntry &entry : entries) {
                if (!entry.key.empty() && !namesRevision(entry)) {
                    lines.push_back(entry.section + "." + entry.key + " = " + entry.value);
                }
            }
            return {};
        },
        [] {});
    std::sort(lines.begin(), lines.end());
    return lines;
}

}

ConfigDiff compareConfig(const std::string &before, const std::string &after)
{
    const std::vector<std::string> old = sortedLines(before);
    const std::vector<std::string> changed = sortedLines(after);
    ConfigDiff diff;
    std::set_difference(old.begin(), old.end(), changed.begin(), changed.end(), std::back_inserter(diff.removed));
    std::set_difference(changed.begin(), changed.end(), old.begin(), old.end(), std::back_inserter(diff.added));
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
