#include "adminclient.h"
#include "adminfailures.h"
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

constexpr Millis WaitPollPeriod{500};
constexpr std::uint64_t MaxWaitSeconds = 86400;

// Returns whether the entry's admin port is still open, and prints its load.
bool isRunning(const AdminClient &client)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(body, client.get("/admin/status"));
            std::cout << "draining, load " << number(member(parseBody(body), "self"), "load") << std::endl;
            return true;
        },
        [](const ConnectFailed &) { return false; }, [] { return true; });
}

}

int drainCommand(int count, const char *const *arguments)
{
    CommandOptions options("drain", "Let an entry finish its requests and stop, as SIGTERM does.");
    options.withEntry().option("wait", "SECONDS", "wait until the entry has stopped, at most this long");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        const auto wait = options.has("wait") ? parseNumber(options.value("wait")) : 0;
        if (!wait || *wait > MaxWaitSeconds) {
            return boost::leaf::new_error(
                UsageFault{"--wait takes a number of seconds up to " + std::to_string(MaxWaitSeconds)});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, true));
        BOOST_LEAF_AUTO(answer, client.post("/admin/drain", "{}"));
        std::cout << answer << std::endl;
        if (!options.has("wait")) {
            return ExitOk;
        }
        const TimePoint end = Clock::now() + std::chrono::seconds(*wait);
        while (isRunning(client)) {
            if (Clock::now() >= end) {
                std::cerr << "cyclamencross drain: the entry still runs\n";
                return ExitFailed;
            }
            std::this_thread::sleep_for(WaitPollPeriod);
        }
        std::cout << "stopped\n";
        return ExitOk;
    });
}

}
