#include "commandoptions.h"
#include "commands.h"
#include "entryprocess.h"
#include "supervised.h"

#include "cyclamencross/base/logline.h"

namespace Cyclamen
{

int entryCommand(int count, const char *const *arguments)
{
    CommandOptions options("entry", "Run the entry process until SIGTERM, which drains it.");
    options.positional("settings", "settings file of this entry");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    return runSupervised([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, loadSettings(options.value("settings")));
        logToStandardOutput();
        return runEntry(settings);
    });
}

}
