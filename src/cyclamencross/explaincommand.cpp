#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "requesttimeline.h"

#include <fstream>
#include <iostream>

namespace Cyclamen
{

int explainCommand(int argc, const char *const *argv)
{
    CommandOptions options("explain", "Print the log lines that explain what happened to one request.");
    options.positional("request", "id of the request");
    options.option("log", "FILE", "file with the logs of all processes; default: standard input");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    RequestTimeline timeline(options.value("request"));
    const std::string path = options.value("log");
    if (path.empty()) {
        timeline.read(std::cin);
    } else {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "cyclamencross: " << path << ": can't be read\n";
            return ExitUsage;
        }
        timeline.read(file);
    }
    const auto lines = timeline.lines();
    for (const std::string &line : lines) {
        std::cout << line << "\n";
    }
    if (timeline.malformedLines() > 0) {
        std::cerr << "cyclamencross: " << timeline.malformedLines() << " malformed log lines were skipped\n";
    }
    if (lines.empty()) {
        std::cerr << "cyclamencross: no log line found for request " << options.value("request") << "\n";
        return ExitFailed;
    }
    return ExitOk;
}

}
