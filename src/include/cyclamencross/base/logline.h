#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Cyclamen
{

/// Builds one JSON log line and writes it to the log.
///
/// @code
/// LogLine("route").add("request", id).add("choice", address).write();
/// @endcode
class LogLine
{
public:
    /// @param event what happened, in a few fixed words joined by '-'; becomes the member "event".
    explicit LogLine(std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value);
    LogLine &add(std::string_view key, double value);
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, int value);
    LogLine &add(std::string_view key, bool value);
    /// Adds @p json, which must be valid JSON text, without quoting it.
    LogLine &addJson(std::string_view key, std::string_view json);

    /// Writes the line at level info.
    void write();
    /// Writes the line at level warning.
    void warn();
    /// Writes the line at level error.
    void error();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

/// Directs logging to standard error as JSON lines without a log file. Called once at the start of main().
/// @param process name of the process, added to each line as "process".
void setUpLogging(std::string_view process);

/// Directs the log to standard output, as processes under supervision do. Writing never blocks: lines that a slow
/// reader does not take, and lines beyond a fixed rate, are dropped and counted in a line "log-dropped".
void logToStandardOutput();

}
