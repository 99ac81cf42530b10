#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"

#include <iostream>

namespace Cyclamen
{

int versionCommand(int argc, const char *const *argv)
{
    CommandOptions options("version", "Print the version.");
    options.flag("json", "print JSON");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    if (options.has("json")) {
        std::cout << R"({"version":")" << CYCLAMENCROSS_VERSION << "\"}\n";
    } else {
        std::cout << "cyclamencross " << CYCLAMENCROSS_VERSION << "\n";
    }
    return ExitOk;
}

}
