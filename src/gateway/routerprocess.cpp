#include "cyclamencross/gateway/routerprocess.h"

#include "router.h"

#include "cyclamencross/base/logline.h"

#include <csignal>

namespace Cyclamen
{

int runRouter(const RouterSettings &settings, const std::string &settingsPath, const PlatformAdapter &platform)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Router router(context, settings, settingsPath, platform);
    if (!router.start()) {
        return 1;
    }
    LogLine("started").add("zone", settings.zone).add("callers", settings.callerAddress).write();
    context.run();
    return 0;
}

}
