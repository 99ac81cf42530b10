#include "adminclient.h"
#include "commanderrors.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/number.h"
#include "cyclamencross/base/timing.h"

#include <iostream>
#include <string>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis WaitPollInterval{500};
constexpr std::uint64_t MaxWaitSeconds = 86400;

// Prints the load of the entry. Returns false once its admin port refuses connections; other errors count as running.
bool printLoadIfRunning(const AdminClient &client)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(body, client.get("/admin/status"));
            std::cout << "draining, load " << uintMember(jsonMember(parseBody(body), "self"), "load") << std::endl;
            return true;
        },
        [](const ConnectFailed &) { return false; }, [] { return true; });
}

}

int drainCommand(int argc, const char *const *argv)
{
    CommandOptions options("drain", "Let an entry finish its requests and stop, as SIGTERM does.");
    options.withEntryOptions().option("wait", "SECONDS", "wait until the entry has stopped, at most this long");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        const auto wait = options.has("wait") ? parseNumber(options.value("wait")) : 0;
        if (!wait || *wait > MaxWaitSeconds) {
            return boost::leaf::new_error(
                UsageError{"--wait takes a number of seconds up to " + std::to_string(MaxWaitSeconds)});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, true));
        BOOST_LEAF_AUTO(replyBody, client.post("/admin/drain", "{}"));
        std::cout << replyBody << std::endl;
        if (!options.has("wait")) {
            return ExitOk;
        }
        const TimePoint deadline = Clock::now() + std::chrono::seconds(*wait);
        while (printLoadIfRunning(client)) {
            if (Clock::now() >= deadline) {
                std::cerr << "cyclamencross drain: the entry is still running\n";
                return ExitFailed;
            }
            std::this_thread::sleep_for(WaitPollInterval);
        }
        std::cout << "stopped\n";
        return ExitOk;
    });
}

}
