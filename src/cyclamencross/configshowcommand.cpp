#include "adminclient.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include <iostream>

namespace Cyclamen
{

int configShowCommand(int count, const char *const *arguments)
{
    CommandOptions options("config show", "Print the fleet configuration in force at an entry, ready to be edited.");
    options.withEntry().flag("json", "print JSON with the revision and the text");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, false));
        BOOST_LEAF_AUTO(body, client.get("/admin/config"));
        std::cout << (options.has("json") ? body + "\n" : text(parseBody(body), "text"));
        return ExitOk;
    });
}

}
