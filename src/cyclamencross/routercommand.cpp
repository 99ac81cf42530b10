#include "commandoptions.h"
#include "commands.h"
#include "environment.h"
#include "serverprocess.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/routerprocess.h"

#include "codecs.h"
#include "storeclient.h"

#include <string>

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
    options.option("settings", "FILE", "settings file; default: the file named by CYCLAMENCROSS_SETTINGS");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runServerProcess([&]() -> boost::leaf::result<int> {
        const std::string fromOption = options.value("settings");
        const std::string path = fromOption.empty() ? environmentValue("CYCLAMENCROSS_SETTINGS") : fromOption;
        BOOST_LEAF_AUTO(fromFile, loadRouterSettings(path));
        BOOST_LEAF_AUTO(withConfigBound,
                        withSetting(fromFile, "bounds.config_ms", environmentValue("CYCLAMENCROSS_CONFIG_MS")));
        BOOST_LEAF_AUTO(settings,
                        withSetting(withConfigBound, "bounds.drain_ms", environmentValue("CYCLAMENCROSS_DRAIN_MS")));
        setUpLogging(settings.name);
        logToStandardOutput();
        return runRouter(settings, path, makeHooks());
    });
}

}
