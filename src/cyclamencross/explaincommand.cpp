#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "requeststory.h"

#include <fstream>
#include <iostream>

namespace Cyclamen
{

int explainCommand(int count, const char *const *arguments)
{
    CommandOptions options("explain", "Print the log lines that explain what happened to one request.");
    options.positional("request", "id of the request");
    options.option("log", "FILE", "file with the logs of all processes; by default standard input");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    RequestStory story(options.value("request"));
    const std::string path = options.value("log");
    if (path.empty()) {
        story.read(std::cin);
    } else {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "cyclamencross: " << path << ": can't be read\n";
            return ExitUsage;
        }
        story.read(file);
    }
    const auto lines = story.lines();
    for (const std::string &line : lines) {
        std::cout << line << "\n";
    }
    if (story.malformedLines() > 0) {
        std::cerr << "cyclamencross: " << story.malformedLines() << " lines can't be read\n";
    }
    if (lines.empty()) {
        std::cerr << "cyclamencross: no line of request " << options.value("request") << "\n";
        return ExitFailed;
    }
    return ExitOk;
}

}
