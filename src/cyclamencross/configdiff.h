#pragma once

#include <string>
#include <vector>

namespace Cyclamen
{

/// The difference between two configurations, as lines of the form "section.key = value".
struct ConfigDiff
{
    std::vector<std::string> removed;
    std::vector<std::string> added;

    bool operator==(const ConfigDiff &) const = default;
};

/// Compares two INI texts by section and key, ignoring order, comments and the keys that name the revision itself.
/// Text that is not INI is compared as empty.
ConfigDiff compareConfig(const std::string &before, const std::string &after);

/// Returns @p diff as indented lines that start with '-' and '+'.
std::string format(const ConfigDiff &diff);

}
