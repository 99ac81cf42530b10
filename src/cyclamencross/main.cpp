#include "commands.h"
#include "exitcode.h"

#include "cyclamencross/base/logline.h"

#include <array>
#include <iostream>
#include <span>
#include <string>
#include <string_view>

namespace
{

using namespace Cyclamen;

struct Command
{
    std::string_view group; ///< First word of a two-word command, otherwise empty.
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, const char *const *argv);
};

constexpr std::array Commands{
    Command{"", "entry", "run the entry process", entryCommand},
    Command{"", "router", "run the router process on the platform", routerCommand},
    Command{"config", "check", "check a settings or configuration file", configCheckCommand},
    Command{"config", "show", "print the fleet configuration in force", configShowCommand},
    Command{"config", "apply", "store a new fleet configuration", configApplyCommand},
    Command{"config", "history", "list the last stored revisions", configHistoryCommand},
    Command{"config", "explain", "print effective values and their origin", configExplainCommand},
    Command{"", "status", "print an entry's view of the fleet", statusCommand},
    Command{"", "drain", "stop an entry gracefully", drainCommand},
    Command{"", "crashes", "list or lift crash containment", crashesCommand},
    Command{"", "explain", "print the log lines about one request", explainCommand},
    Command{"", "version", "print the version", versionCommand},
};

void printUsage(std::ostream &output)
{
    output << "usage: cyclamencross COMMAND [OPTION...]\n\n";
    for (const Command &command : Commands) {
        std::string words = std::string(command.group) + (command.group.empty() ? "" : " ") + std::string(command.name);
        words.resize(18, ' ');
        output << "  " << words << command.summary << "\n";
    }
    output << "\nEach command has --help.\n";
}

}

int main(int argc, char **argv)
{
    setUpLogging("cyclamencross");
    const std::span<char *> args(argv, std::size_t(argc));
    const std::string_view first = args.size() > 1 ? args[1] : "";
    const std::string_view second = args.size() > 2 ? args[2] : "";
    if (first == "--help" || first == "-h") {
        printUsage(std::cout);
        return ExitOk;
    }
    for (const Command &command : Commands) {
        if (command.group.empty() && command.name == first) {
            return command.run(argc - 1, argv + 1);
        }
        if (!command.group.empty() && command.group == first && command.name == second) {
            return command.run(argc - 2, argv + 2);
        }
    }
    printUsage(std::cerr);
    return ExitUsage;
}
