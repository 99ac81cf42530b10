#include "adminclient.h"
#include "commandoptions.h"
#include "commands.h"
#include "configdiff.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include <iostream>

namespace Cyclamen
{

namespace
{

void printHistory(const Json &body)
{
    const Json revisions = arrayMember(body, "revisions");
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        std::cout << "revision " << uintMember(revisions[i], "revision") << "  change "
                  << stringMember(revisions[i], "change_id") << "  by " << stringMember(revisions[i], "author") << "\n";
        if (i + 1 < revisions.size()) {
            std::cout << format(
                compareConfig(stringMember(revisions[i + 1], "text"), stringMember(revisions[i], "text")));
        }
    }
}

}

int configHistoryCommand(int argc, const char *const *argv)
{
    CommandOptions options("config history", "List the last stored revisions, newest first, with their changes.");
    options.withEntryOptions().flag("json", "print JSON with all texts");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, false));
        BOOST_LEAF_AUTO(body, client.get("/admin/config/history"));
        if (options.has("json")) {
            std::cout << body << "\n";
        } else {
            printHistory(parseBody(body));
        }
        return ExitOk;
    });
}

}
