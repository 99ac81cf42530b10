#pragma once

#include <string>
#include <vector>

namespace Cyclamen
{

/// The difference between two configurations, with one line for each default or exception that differs.
struct ConfigDiff
{
    std::vector<std::string> removed;
    std::vector<std::string> added;

    bool operator==(const ConfigDiff &) const = default;
};

/// Compares two fleet configurations, ignoring order, comments, units, names of exceptions and the section [change].
/// Text that is not INI counts as empty.
ConfigDiff compareConfig(const std::string &before, const std::string &after);

/// Returns @p diff as indented lines marked with '-' and '+', or "(none)" if there is no difference.
std::string format(const ConfigDiff &diff);

}
