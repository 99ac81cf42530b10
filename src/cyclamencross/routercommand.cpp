#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/routerprocess.h"

#include "storeclient.h"
#include "wire.h"

#include <cstdlib>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>

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
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            const char *named = std::getenv("CYCLAMENCROSS_SETTINGS");
            const std::string given = options.value("settings");
            const std::string path = given.empty() && named != nullptr ? named : given;
            BOOST_LEAF_AUTO(settings, loadRouterSettings(path));
            setUpLogging(settings.name);
            logToStandardOutput();
            return runRouter(settings, path, makeHooks());
        },
        [](const InvalidSetting &fault) {
            LogLine("invalid-setting")
                .add("file", fault.file)
                .add("line", fault.line)
                .add("key", fault.key)
                .add("expected", fault.expected)
                .error();
            return int(ExitUsage);
        },
        [](boost::leaf::catch_<std::exception> fault) {
            LogLine("router-failed").add("detail", fault.matched.what()).error();
            return int(ExitFailed);
        },
        [] {
            LogLine("router-failed").error();
            return int(ExitFailed);
        });
}

}
