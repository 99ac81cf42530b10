#include "commands.h"

#include "cyclamencross/base/logline.h"

#include <csignal>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    using namespace Cyclamen;
    setUpLogging("cyclamencross-emu");
    std::signal(SIGPIPE, SIG_IGN);
    const std::string command = argc > 1 ? argv[1] : "";
    try {
        if (command == "engine") {
            return runEngine(argc - 1, argv + 1);
        }
        if (command == "service") {
            return runService(argc - 1, argv + 1);
        }
        if (command == "platform") {
            return runPlatform(argc - 1, argv + 1);
        }
        if (command == "load") {
            return runLoad(argc - 1, argv + 1);
        }
    } catch (const cxxopts::exceptions::exception &fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
    std::cerr << "usage: cyclamencross-emu engine|service|platform|load [--help]\n";
    return 2;
}
