#include "adminclient.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include <iostream>

namespace Cyclamen
{

int configShowCommand(int argc, const char *const *argv)
{
    CommandOptions options("config show", "Print the fleet configuration in force at an entry, ready to be edited.");
    options.withEntryOptions().flag("json", "print JSON with the revision and the text");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, false));
        BOOST_LEAF_AUTO(body, client.get("/admin/config"));
        std::cout << (options.has("json") ? body + "\n" : stringMember(parseBody(body), "text"));
        return ExitOk;
    });
}

}
