#include "adminclient.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include <iomanip>
#include <iostream>

namespace Cyclamen
{

namespace
{

void printMember(const Json &member)
{
    std::cout << "  " << std::left << std::setw(20) << stringMember(member, "name") << std::setw(10)
              << stringMember(member, "state") << std::setw(14) << stringMember(member, "zone") << std::setw(22)
              << stringMember(member, "admin_address") << "load " << uintMember(member, "load") << "  revision "
              << uintMember(member, "config_revision") << "\n";
}

void printBackend(const Json &backend)
{
    std::cout << "  " << std::left << std::setw(22) << stringMember(backend, "address") << std::setw(10)
              << stringMember(backend, "state") << std::setw(14) << stringMember(backend, "zone") << std::setw(9)
              << stringMember(backend, "kind") << std::setw(9) << stringMember(backend, "role")
              << stringMember(backend, "pool") << " " << stringMember(backend, "model") << "\n";
}

void printStatus(const Json &status)
{
    const Json self = jsonMember(status, "self");
    std::cout << "entry " << stringMember(self, "name") << " " << stringMember(self, "incarnation") << ": "
              << stringMember(self, "state") << (boolMember(status, "ready") ? ", ready" : ", not ready")
              << (boolMember(status, "isolated") ? ", isolated" : "") << ", load " << uintMember(self, "load")
              << ", configuration revision " << uintMember(status, "config_revision") << "\n";
    std::cout << "members: " << arrayMember(status, "members").size() << "\n";
    for (const Json &item : arrayMember(status, "members")) {
        printMember(item);
    }
    std::cout << "backend servers: " << arrayMember(status, "backends").size() << "\n";
    for (const Json &item : arrayMember(status, "backends")) {
        printBackend(item);
    }
}

}

int statusCommand(int argc, const char *const *argv)
{
    CommandOptions options("status", "Print an entry's view of the fleet.");
    options.withEntryOptions().flag("json", "print JSON");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, false));
        BOOST_LEAF_AUTO(body, client.get("/admin/status"));
        if (options.has("json")) {
            std::cout << body << "\n";
        } else {
            printStatus(parseBody(body));
        }
        return ExitOk;
    });
}

}
