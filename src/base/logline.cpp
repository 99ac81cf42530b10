#include "cyclamencross/base/logline.h"

#include <chrono>
#include <iostream>
#include <string>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace Cyclamen
{

namespace
{

std::string processName;

std::int64_t unixMillis()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}

struct LogLine::Members
{
    nlohmann::ordered_json line;
};

LogLine::LogLine(std::string_view event)
    : members(std::make_unique<Members>())
{
    this->members->line["time_ms"] = unixMillis();
    this->members->line["level"] = "info";
    this->members->line["process"] = processName;
    this->members->line["event"] = event;
}

LogLine::~LogLine() = default;

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    this->members->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, const char *value)
{
    return this->add(key, std::string_view(value));
}

LogLine &LogLine::add(std::string_view key, double value)
{
    this->members->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    this->members->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::uint64_t value)
{
    this->members->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::add(std::string_view key, int value)
{
    return this->add(key, static_cast<std::int64_t>(value));
}

LogLine &LogLine::add(std::string_view key, bool value)
{
    this->members->line[std::string(key)] = value;
    return *this;
}

LogLine &LogLine::addJson(std::string_view key, std::string_view json)
{
    this->members->line[std::string(key)] = nlohmann::ordered_json::parse(json, nullptr, false);
    return *this;
}

namespace
{

// Text from callers may hold invalid UTF-8, which must not end the process.
std::string dump(const nlohmann::ordered_json &line)
{
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}

void LogLine::write()
{
    LOG(INFO) << dump(this->members->line);
}

void LogLine::warn()
{
    this->members->line["level"] = "warning";
    LOG(WARNING) << dump(this->members->line);
}

void LogLine::error()
{
    this->members->line["level"] = "error";
    LOG(ERROR) << dump(this->members->line);
}

namespace
{

// easylogging++ itself writes to standard output; the JSON lines belong on standard error.
class StandardErrorCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        std::cerr << data->logMessage()->message() + "\n" << std::flush;
    }
};

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
    el::Helpers::installLogDispatchCallback<StandardErrorCallback>("StandardErrorCallback");
}

}
