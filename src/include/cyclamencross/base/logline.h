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
    /// @param event fixed name of the event, words joined by '-', such as "config-applied"; written as "event".
    explicit LogLine(std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a field. A value that is added again under the same key replaces the earlier one. Invalid UTF-8 in text is
    /// replaced when the line is written.
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value);
    LogLine &add(std::string_view key, double value);
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, int value);
    LogLine &add(std::string_view key, bool value);
    /// Adds @p json, which must be valid JSON text, as a JSON value instead of a string.
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

/// Sends the log to standard error as JSON lines. Called at the start of main(), before the first log line; a later
/// call changes the process name.
/// @param process name of the process, added to each line as "process".
void setUpLogging(std::string_view process);

/// Sends the log to standard output, for processes that run under a supervisor. Writing never blocks: lines that don't
/// fit into the pipe to a slow reader and lines above a fixed rate are dropped, and a "log-dropped" line gives their
/// number.
void logToStandardOutput();

}
