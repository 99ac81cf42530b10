#pragma once

#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace Cyclamen
{

/// Declares and parses the options of one subcommand. --help is always declared.
class CommandOptions
{
public:
    /// @param name the words of the subcommand, for example "config show".
    CommandOptions(const std::string &name, const std::string &summary);

    /// Adds a required positional argument, which the help shows with its name in capitals.
    CommandOptions &positional(const std::string &name, const std::string &help);
    /// Adds an option with a value.
    CommandOptions &option(const std::string &name, const std::string &valueName, const std::string &help);
    /// Adds an option without a value.
    CommandOptions &flag(const std::string &name, const std::string &help);
    /// Adds --entry and --settings, which select the entry that the command sends its requests to.
    CommandOptions &withEntryOptions();

    /// Parses the arguments. Prints the help if it is asked for, and an error message if the arguments are invalid.
    /// @param argv arguments from the last word of the subcommand on.
    /// @return the exit code if the command must end without running, otherwise nothing.
    std::optional<int> parse(int argc, const char *const *argv);
    /// Returns whether an option or a positional argument was given.
    bool has(const std::string &name) const;
    /// Returns the value of an option or a positional argument, empty if it was not given.
    std::string value(const std::string &name) const;

private:
    std::string name;
    cxxopts::Options options;
    std::vector<std::string> positionals;
    cxxopts::ParseResult result;
};

}
