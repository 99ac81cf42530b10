#include "adminclient.h"
#include "adminfailures.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include "cyclamencross/base/number.h"

#include <algorithm>
#include <iostream>

namespace Cyclamen
{

namespace
{

void printCrashes(const Json &body)
{
    const Json contained = list(body, "contained");
    std::cout << "crashes in force: " << list(body, "crashes").size() << "\n";
    for (const Json &crash : list(body, "crashes")) {
        const bool isContained =
            std::find(contained.begin(), contained.end(), text(crash, "fingerprint")) != contained.end();
        std::cout << "  " << text(crash, "fingerprint") << "  " << text(crash, "backend") << "  reported by "
                  << text(crash, "reporter") << " at " << number(crash, "unix_time")
                  << (isContained ? "  contained" : "") << "\n";
    }
}

}

int crashesCommand(int count, const char *const *arguments)
{
    CommandOptions options("crashes", "List the crash records, or let a contained request run again.");
    options.withEntry()
        .option("lift", "FINGERPRINT", "remove the records of this request fingerprint in the whole fleet")
        .flag("json", "print JSON");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        const bool lifting = options.has("lift");
        if (lifting && !parseHex(options.value("lift"))) {
            return boost::leaf::new_error(UsageFault{"--lift takes a fingerprint in hexadecimal digits"});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, lifting));
        if (lifting) {
            BOOST_LEAF_AUTO(answer,
                            client.post("/admin/crashes/lift", Json{{"fingerprint", options.value("lift")}}.dump()));
            std::cout << answer << "\n";
            return ExitOk;
        }
        BOOST_LEAF_AUTO(body, client.get("/admin/crashes"));
        if (options.has("json")) {
            std::cout << body << "\n";
        } else {
            printCrashes(parseBody(body));
        }
        return ExitOk;
    });
}

}
