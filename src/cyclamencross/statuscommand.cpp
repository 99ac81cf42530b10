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
    std::cout << "  " << std::left << std::setw(20) << text(member, "name") << std::setw(10) << text(member, "state")
              << std::setw(14) << text(member, "zone") << std::setw(22) << text(member, "admin_address") << "load "
              << number(member, "load") << "  revision " << number(member, "config_revision") << "\n";
}

void printBackend(const Json &backend)
{
    std::cout << "  " << std::left << std::setw(22) << text(backend, "address") << std::setw(10)
              << text(backend, "state") << std::setw(14) << text(backend, "zone") << std::setw(9)
              << text(backend, "kind") << std::setw(9) << text(backend, "role") << text(backend, "pool") << " "
              << text(backend, "model") << "\n";
}

void printStatus(const Json &status)
{
    const Json self = member(status, "self");
    std::cout << "entry " << text(self, "name") << " " << text(self, "incarnation") << ": " << text(self, "state")
              << (flag(status, "ready") ? ", ready" : ", not ready") << (flag(status, "isolated") ? ", isolated" : "")
              << ", load " << number(self, "load") << ", configuration revision " << number(status, "config_revision")
              << "\n";
    std::cout << "members: " << list(status, "members").size() << "\n";
    for (const Json &each : list(status, "members")) {
        printMember(each);
    }
    std::cout << "backend servers: " << list(status, "backends").size() << "\n";
    for (const Json &each : list(status, "backends")) {
        printBackend(each);
    }
}

}

int statusCommand(int count, const char *const *arguments)
{
    CommandOptions options("status", "Print what an entry knows of the fleet.");
    options.withEntry().flag("json", "print JSON");
    if (const auto code = options.parse(count, arguments)) {
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
