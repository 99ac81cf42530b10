#include "cyclamencross/base/logline.h"

#include "cyclamencross/base/timing.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace Cyclamen
{

namespace
{

std::string processName;

}

struct LogLine::Impl
{
    nlohmann::ordered_json line;
};

LogLine::LogLine(std::string_view event)
    : impl(std::make_unique<Impl>())
{
    this->impl->line["time_ms"] = unixMillis();
    this->impl->line["level"] = "info";
    this->impl->line["process"] = processName;
    this->impl->line["event"] = event;
}

LogLine::~LogLine() = default;

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    this->impl->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, const char *value)
{
    return this->add(key, std::string_view(value));
}

LogLine &LogLine::add(std::string_view key, double value)
{
    this->impl->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    this->impl->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::uint64_t value)
{
    this->impl->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, int value)
{
    return this->add(key, static_cast<std::int64_t>(value));
}

LogLine &LogLine::add(std::string_view key, bool value)
{
    this->impl->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::addJson(std::string_view key, std::string_view json)
{
    this->impl->line[std::string(key)] = nlohmann::ordered_json::parse(json, nullptr, false);
    return *this;
}

namespace
{

// Replaces invalid UTF-8, which text from callers may contain. The default error handler would throw and end the
// process.
std::string serialize(const nlohmann::ordered_json &line)
{
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}

void LogLine::write()
{
    LOG(INFO) << serialize(this->impl->line);
}

void LogLine::warn()
{
    this->impl->line["level"] = "warning";
    LOG(WARNING) << serialize(this->impl->line);
}

void LogLine::error()
{
    this->impl->line["level"] = "error";
    LOG(ERROR) << serialize(this->impl->line);
}

namespace
{

// Token-bucket limit for log lines, about ten times what a host writes under its usual load. It keeps a burst of
// requests from using up the host's CPU for logging.
constexpr double MaxLinesPerSecond = 400;
constexpr double MaxBurstLines = 2000;

int logDescriptor = STDERR_FILENO;

// Writes log lines to a file descriptor, because easylogging++ itself only does blocking writes to standard output.
// easylogging++ holds a mutex during each call, so the members need no lock.
class DescriptorCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        if (logDescriptor == STDERR_FILENO) {
            this->writeLine(data->logMessage()->message());
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const double elapsedSeconds = std::chrono::duration<double>(now - this->lastRefill).count();
        this->lastRefill = now;
        this->availableLines = std::min(MaxBurstLines, this->availableLines + elapsedSeconds * MaxLinesPerSecond);
        if (this->availableLines < 1) {
            ++this->dropped;
            return;
        }
        this->availableLines -= 1;
        if (this->dropped > 0) {
            const nlohmann::ordered_json line{{"time_ms", unixMillis()},
                                              {"level", "warning"},
                                              {"process", processName},
                                              {"event", "log-dropped"},
                                              {"lines", this->dropped}};
            this->dropped = this->writeLine(line.dump()) ? 0 : this->dropped;
        }
        if (!this->writeLine(data->logMessage()->message())) {
            ++this->dropped;
        }
    }

private:
    // Returns whether the whole line was written.
    static bool writeLine(const std::string &message)
    {
        const std::string line = message + "\n";
        return ::write(logDescriptor, line.data(), line.size()) == ssize_t(line.size());
    }

    std::chrono::steady_clock::time_point lastRefill;
    double availableLines = MaxBurstLines;
    std::uint64_t dropped = 0;
};

}

void logToStandardOutput()
{
    logDescriptor = STDOUT_FILENO;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void setUpLogging(std::string_view process)
{
    processName = process;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::installLogDispatchCallback<DescriptorCallback>("DescriptorCallback");
}

}
