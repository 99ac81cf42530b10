#pragma once

#include "cyclamencross/base/settings.h"

#include <map>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Builds the Settings of an entry process from the keys of its settings file and checks them.
class SettingsBuilder
{
public:
    /// @param file name used in errors.
    explicit SettingsBuilder(std::string file);

    /// Checks the name of a section.
    /// @return InvalidSetting if there is no such section.
    boost::leaf::result<void> checkSection(const std::string &name, int line) const;
    /// Parses the value of one key and stores it.
    /// @return InvalidSetting for an unknown section or key, a repeated key or a value out of its type or range.
    boost::leaf::result<void> set(const std::string &section, const std::string &key, const std::string &value,
                                  int line);
    /// Checks the settings as a whole.
    /// @return the settings, or InvalidSetting for a missing key or for keys that contradict each other.
    boost::leaf::result<Settings> build() const;

private:
    std::string file;
    Settings settings;
    std::map<std::string, int> lines; ///< Line of each key that was set, by "section.key".
};

}
