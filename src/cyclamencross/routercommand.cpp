#include "commandoptions.h"
#include "commands.h"
#include "serverprocess.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/routerprocess.h"

#include "storeclient.h"
#include "wire.h"

#include <cstdlib>

namespace Cyclamen
{

namespace
{

RouterHooks makeHooks()
{
    RouterHooks hooks;
    hooks.backendWire = makeBackendWire();
    hooks.entryWire = makeEntryWire();
    hooks.fleetCodec = makeFleetCodec();
    hooks.makeStore = [](const boost::asio::any_io_executor &executor, const RouterSettings &settings) {
        return makeStoreClient(executor, settings.storeAddress);
    };
    return hooks;
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
        const char *fromEnvironment = std::getenv("CYCLAMENCROSS_SETTINGS");
        const std::string fromOption = options.value("settings");
        const std::string path = fromOption.empty() && fromEnvironment != nullptr ? fromEnvironment : fromOption;
        BOOST_LEAF_AUTO(settings, loadRouterSettings(path));
        setUpLogging(settings.name);
        logToStandardOutput();
        return runRouter(settings, path, makeHooks());
    });
}

}
