#include "commandoptions.h"

#include "exitcode.h"

#include <algorithm>
#include <cctype>
#include <iostream>

namespace Cyclamen
{

namespace
{

constexpr auto ExitCodeHelp = "\nExit codes: 0 ok, 1 failed or outcome unknown, 2 usage or invalid input, 3 conflict, "
                              "4 unreachable.\n";

std::string toUpper(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return char(std::toupper(c)); });
    return text;
}

}

CommandOptions::CommandOptions(const std::string &name, const std::string &summary)
    : name(name)
    , options("cyclamencross " + name, summary + "\n")
{
    this->options.custom_help("[OPTION...]");
    this->options.add_options()("h,help", "print this help");
}

CommandOptions &CommandOptions::positional(const std::string &name, const std::string &help)
{
    this->options.add_options("argument")(name, help, cxxopts::value<std::string>());
    this->positionals.push_back(name);
    return *this;
}

CommandOptions &CommandOptions::option(const std::string &name, const std::string &valueName, const std::string &help)
{
    this->options.add_options()(name, help, cxxopts::value<std::string>(), valueName);
    return *this;
}

CommandOptions &CommandOptions::flag(const std::string &name, const std::string &help)
{
    this->options.add_options()(name, help);
    return *this;
}

CommandOptions &CommandOptions::withEntryOptions()
{
    this->option("entry", "IP:PORT", "admin address of the entry to ask; default: listen.admin in --settings");
    return this->option("settings", "FILE", "settings file of an entry, for the shared key");
}

std::optional<int> CommandOptions::parse(int argc, const char *const *argv)
{
    std::string usage;
    for (const std::string &positional : this->positionals) {
        usage += (usage.empty() ? "" : " ") + toUpper(positional);
    }
    this->options.positional_help(usage);
    this->options.parse_positional(this->positionals);
    try {
        this->result = this->options.parse(argc, argv);
        if (this->has("help")) {
            std::cout << this->options.help({""}) << ExitCodeHelp;
            return ExitOk;
        }
        if (!this->result.unmatched().empty()) {
            std::cerr << "cyclamencross " << this->name << ": unexpected argument " << this->result.unmatched().front()
                      << "\n";
            return ExitUsage;
        }
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "cyclamencross " << this->name << ": " << error.what() << "\n";
        return ExitUsage;
    }
    for (const std::string &positional : this->positionals) {
        if (!this->has(positional)) {
            std::cerr << "cyclamencross " << this->name << ": missing " << toUpper(positional) << "\n";
            return ExitUsage;
        }
    }
    return std::nullopt;
}

bool CommandOptions::has(const std::string &name) const
{
    return this->result.count(name) > 0;
}

std::string CommandOptions::value(const std::string &name) const
{
    return this->has(name) ? this->result[name].as<std::string>() : std::string();
}

}
