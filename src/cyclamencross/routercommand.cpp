#include "commandoptions.h"
#include "commands.h"
#include "supervised.h"

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

int routerCommand(int count, const char *const *arguments)
{
    CommandOptions options("router", "Run the router process on the platform until SIGTERM, which drains it.");
    options.option("settings", "FILE", "settings file; by default the one that CYCLAMENCROSS_SETTINGS names");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    return runSupervised([&]() -> boost::leaf::result<int> {
        const char *named = std::getenv("CYCLAMENCROSS_SETTINGS");
        const std::string given = options.value("settings");
        const std::string path = given.empty() && named != nullptr ? named : given;
        BOOST_LEAF_AUTO(settings, loadRouterSettings(path));
        setUpLogging(settings.name);
        logToStandardOutput();
        return runRouter(settings, path, makeHooks());
    });
}

}
