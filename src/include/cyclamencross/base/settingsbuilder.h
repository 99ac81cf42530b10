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
    /// @param file name for error reports.
    explicit SettingsBuilder(std::string file);

    /// Checks that the section exists.
    /// @return InvalidSetting if not.
    boost::leaf::result<void> section(const std::string &name, int line) const;
    /// Sets one key.
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
