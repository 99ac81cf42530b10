#include "cyclamencross/base/settings.h"

#include "cyclamencross/base/inifile.h"
#include "cyclamencross/base/settingsbuilder.h"

namespace Cyclamen
{

boost::leaf::result<Settings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    BOOST_LEAF_AUTO(entries, parseIni(text, path));
    SettingsBuilder builder(path);
    for (const IniEntry &entry : entries) {
        auto accepted = entry.key.empty() ? builder.checkSection(entry.section, entry.line)
                                          : builder.set(entry.section, entry.key, entry.value, entry.line);
        if (!accepted) {
            return accepted.error();
        }
    }
    return builder.build();
}

}
