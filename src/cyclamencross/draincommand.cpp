#include "adminclient.h"
#include "adminfailures.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/timing.h"

#include <charconv>
#include <iostream>
#include <optional>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis WaitPollPeriod{500};

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

std::optional<std::chrono::seconds> parseSeconds(const std::string &text)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(value);
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
        const auto wait = options.has("wait") ? parseSeconds(options.value("wait")) : std::chrono::seconds(0);
        if (!wait) {
            return boost::leaf::new_error(UsageFault{"--wait takes a number of seconds"});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, true));
        BOOST_LEAF_AUTO(answer, client.post("/admin/drain", "{}"));
        std::cout << answer << std::endl;
        if (!options.has("wait")) {
            return ExitOk;
        }
        const TimePoint end = Clock::now() + *wait;
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
