#include "commandoptions.h"
#include "commands.h"
#include "serverprocess.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/routerprocess.h"

#include "codecs.h"
#include "storeclient.h"

#include <cstdlib>

namespace Cyclamen
{

namespace
{

PlatformAdapter makeHooks()
{
    PlatformAdapter platform;
    platform.backendCodec = makeBackendCodec();
    platform.directoryCodec = makeDirectoryCodec();
    platform.fleetCodec = makeFleetCodec();
    platform.makeStore = [](const boost::asio::any_io_executor &executor, const RouterSettings &settings) {
        return makeStoreClient(executor, settings.storeAddress);
    };
    return platform;
}

}

int routerCommand(int argc, const char *const *argv)
{
    CommandOptions options("router", "Run the router process on the platform until SIGTERM, which drains it.");
    options.option("settings", "FILE", "settings file; default: the file named by CYCLAMENCROSS_SETTINGS")
        .option("config-ms", "MS", "time after which a confirmed configuration must be in force; before the file's")
        .option("drain-ms", "MS", "time after which a leaving backend server must get no requests; before the file's");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runServerProcess([&]() -> boost::leaf::result<int> {
        const char *fromEnvironment = std::getenv("CYCLAMENCROSS_SETTINGS");
        const std::string fromOption = options.value("settings");
        const std::string path = fromOption.empty() && fromEnvironment != nullptr ? fromEnvironment : fromOption;
        BOOST_LEAF_AUTO(settings, loadRouterSettings(path));
        BOOST_LEAF_CHECK(overrideSetting(settings, "bounds.config_ms", options.value("config-ms")));
        BOOST_LEAF_CHECK(overrideSetting(settings, "bounds.drain_ms", options.value("drain-ms")));
        setUpLogging(settings.name);
        logToStandardOutput();
        return runRouter(settings, path, makeHooks());
    });
}

}
