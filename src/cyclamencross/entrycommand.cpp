#include "commandoptions.h"
#include "commands.h"
#include "entryprocess.h"
#include "serverprocess.h"

#include "cyclamencross/base/logline.h"

namespace Cyclamen
{

int entryCommand(int argc, const char *const *argv)
{
    CommandOptions options("entry", "Run the entry process until SIGTERM, which drains it.");
    options.positional("settings", "settings file of this entry");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runServerProcess([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, loadSettings(options.value("settings")));
        logToStandardOutput();
        return runEntry(settings);
    });
}

}
