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
    std::string before;
    for (const Json &revision : list(body, "revisions")) {
        std::cout << "revision " << number(revision, "revision") << "  change " << text(revision, "change_id")
                  << "  by " << text(revision, "author") << "  seen at " << number(revision, "seen_unix_time") << "\n";
        if (!before.empty()) {
            std::cout << format(compareConfig(before, text(revision, "text")));
        }
        before = text(revision, "text");
    }
}

}

int configHistoryCommand(int count, const char *const *arguments)
{
    CommandOptions options("config history",
                           "List the revisions that an entry has seen since it started, with their changes.");
    options.withEntry().flag("json", "print JSON with all texts");
    if (const auto code = options.parse(count, arguments)) {
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
