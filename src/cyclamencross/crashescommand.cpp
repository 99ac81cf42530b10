#include "adminclient.h"
#include "commanderrors.h"
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
    const Json contained = arrayMember(body, "contained");
    std::cout << "active crash records: " << arrayMember(body, "crashes").size() << "\n";
    for (const Json &crash : arrayMember(body, "crashes")) {
        const bool isContained =
            std::find(contained.begin(), contained.end(), stringMember(crash, "fingerprint")) != contained.end();
        std::cout << "  " << stringMember(crash, "fingerprint") << "  " << stringMember(crash, "backend")
                  << "  reported by " << stringMember(crash, "reporter") << " at " << uintMember(crash, "unix_time")
                  << (isContained ? "  contained" : "") << "\n";
    }
}

}

int crashesCommand(int argc, const char *const *argv)
{
    CommandOptions options("crashes", "List the crash records, or let a contained request run again.");
    options.withEntryOptions()
        .option("lift", "FINGERPRINT", "remove the records of this request fingerprint in the whole fleet")
        .flag("json", "print JSON");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        const bool lift = options.has("lift");
        if (lift && !parseHex(options.value("lift"))) {
            return boost::leaf::new_error(UsageError{"--lift takes a fingerprint in hexadecimal digits"});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, lift));
        if (lift) {
            BOOST_LEAF_AUTO(replyBody,
                            client.post("/admin/crashes/lift", Json{{"fingerprint", options.value("lift")}}.dump()));
            std::cout << replyBody << "\n";
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
