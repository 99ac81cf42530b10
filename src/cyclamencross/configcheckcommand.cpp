#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "runcommand.h"

#include "cyclamencross/base/inifile.h"
#include "cyclamencross/base/settings.h"
#include "cyclamencross/fleet/configtext.h"

#include <iostream>

namespace Cyclamen
{

int configCheckCommand(int argc, const char *const *argv)
{
    CommandOptions options("config check", "Check a settings file, or a fleet configuration file with --fleet.");
    options.positional("file", "the file to check").flag("fleet", "the file is a fleet configuration");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        if (options.has("fleet")) {
            BOOST_LEAF_AUTO(text, readTextFile(options.value("file")));
            BOOST_LEAF_AUTO(config, parseConfig(text, options.value("file")));
            std::cout << options.value("file") << ": ok, " << config.exceptions.size() << " exceptions\n";
            return ExitOk;
        }
        BOOST_LEAF_AUTO(settings, loadSettings(options.value("file")));
        std::cout << options.value("file") << ": ok, entry " << settings.name << "\n";
        return ExitOk;
    });
}

}
