#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"

#include <iostream>

namespace Cyclamen
{

int versionCommand(int count, const char *const *arguments)
{
    CommandOptions options("version", "Print the version.");
    options.flag("json", "print JSON");
    if (const auto code = options.parse(count, arguments)) {
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
