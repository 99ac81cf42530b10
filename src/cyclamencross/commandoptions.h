#pragma once

#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace Cyclamen
{

/// Builds and parses the options of one subcommand. Each has --help.
class CommandOptions
{
public:
    /// @param name words after the program's name, for example "config show".
    CommandOptions(const std::string &name, const std::string &summary);

    /// Adds a required positional argument; its name in capitals stands in the help.
    CommandOptions &positional(const std::string &name, const std::string &help);
    /// Adds an option with a value.
    CommandOptions &option(const std::string &name, const std::string &valueName, const std::string &help);
    /// Adds an option without a value.
    CommandOptions &flag(const std::string &name, const std::string &help);
    /// Adds --entry and --settings, which name the entry to talk to.
    CommandOptions &withEntry();

    /// Parses the arguments after the subcommand; prints help or what is wrong with them.
    /// @return the exit code if the command is to end here.
    std::optional<int> parse(int count, const char *const *arguments);
    /// Returns whether an option or positional was given.
    bool has(const std::string &name) const;
    /// Returns the value of an option or positional, empty if it was not given.
    std::string value(const std::string &name) const;

private:
    std::string name;
    cxxopts::Options options;
    std::vector<std::string> positionals;
    cxxopts::ParseResult result;
};

}
