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
    const Json revisions = list(body, "revisions");
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        std::cout << "revision " << number(revisions[i], "revision") << "  change " << text(revisions[i], "change_id")
                  << "  by " << text(revisions[i], "author") << "\n";
        if (i + 1 < revisions.size()) {
            std::cout << format(compareConfig(text(revisions[i + 1], "text"), text(revisions[i], "text")));
        }
    }
}

}

int configHistoryCommand(int count, const char *const *arguments)
{
    CommandOptions options("config history", "List the last stored revisions, the newest first, with their changes.");
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
