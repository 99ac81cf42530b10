#include "cyclamencross/fleet/configtext.h"

#include "cyclamencross/decide/configkeys.h"
#include "inireader.h"

#include <array>
#include <charconv>
#include <ctime>
#include <map>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::string_view ExceptionPrefix = "exception ";
constexpr auto ExpiryFormat = "%Y-%m-%dT%H:%M:%SZ";
constexpr std::array<std::string_view, 4> Scopes{"workspace", "model", "zone", "backend"};

// An exception while it is read, with the lines that failures name.
struct PendingException
{
    FleetException exception;
    std::map<std::string, int> lines;
    bool hasScope = false;
};

std::optional<std::int64_t> parseExpiry(const std::string &text)
{
    std::tm time{};
    const char *rest = strptime(text.c_str(), ExpiryFormat, &time);
    if (rest == nullptr || *rest != '\0') {
        return std::nullopt;
    }
    return timegm(&time);
}

std::string formatExpiry(std::int64_t expiry)
{
    const std::time_t seconds = expiry;
    std::tm time{};
    gmtime_r(&seconds, &time);
    std::array<char, 32> text{};
    return {text.data(), std::strftime(text.data(), text.size(), ExpiryFormat, &time)};
}

class ConfigReader
{
public:
    std::optional<std::string> take(const IniLine &line)
    {
        if (line.section == "change") {
            return this->takeChange(line);
        }
        if (line.section == "defaults") {
            const ConfigKey *key = findConfigKey(line.name);
            if (key == nullptr) {
                return "a key of [defaults]";
            }
            return key->set(this->config.defaults, line.value) ? std::nullopt : std::optional(key->expected);
        }
        if (line.section.starts_with(ExceptionPrefix) && line.section.size() > ExceptionPrefix.size()) {
            return this->takeException(line);
        }
        return "the section [change], [defaults] or [exception NAME]";
    }

    // Checks what only the whole text shows.
    std::optional<InvalidSetting> finish()
    {
        for (const std::string &name : this->order) {
            PendingException &pending = this->exceptions.at(name);
            if (const auto fault = checkException(pending)) {
                return fault;
            }
            this->config.exceptions.push_back(pending.exception);
        }
        return std::nullopt;
    }

    FleetConfig config;

private:
    std::optional<std::string> takeChange(const IniLine &line)
    {
        if (line.name == "id") {
            this->config.changeId = line.value;
        } else if (line.name == "author") {
            this->config.author = line.value;
        } else if (line.name == "revision") {
            const char *end = line.value.data() + line.value.size();
            const auto [rest, error] = std::from_chars(line.value.data(), end, this->config.revision);
            if (error != std::errc() || rest != end) {
                return "a whole number";
            }
        } else {
            return "revision, id or author";
        }
        return std::nullopt;
    }

    std::optional<std::string> takeException(const IniLine &line)
    {
        const auto [found, isNew] = this->exceptions.try_emplace(line.section);
        if (isNew) {
            this->order.push_back(line.section);
        }
        PendingException &pending = found->second;
        FleetException &exception = pending.exception;
        pending.lines[line.name] = line.line;
        if (line.name == "scope") {
            for (std::size_t i = 0; i < Scopes.size(); ++i) {
                if (line.value == Scopes[i]) {
                    exception.scope = static_cast<ExceptionScope>(i);
                    pending.hasScope = true;
                }
            }
            return pending.hasScope ? std::nullopt : std::optional<std::string>("workspace, model, zone or backend");
        }
        if (line.name == "expiry") {
            exception.expiry = parseExpiry(line.value);
            return exception.expiry ? std::nullopt : std::optional<std::string>("a time like 2026-12-31T23:59:59Z");
        }
        const std::map<std::string, std::string *> texts{{"subject", &exception.subject},
                                                         {"key", &exception.key},
                                                         {"value", &exception.value},
                                                         {"reason", &exception.reason},
                                                         {"author", &exception.author}};
        const auto text = texts.find(line.name);
        if (text == texts.end()) {
            return "scope, subject, key, value, reason, author or expiry";
        }
        *text->second = line.value;
        return std::nullopt;
    }

    static std::optional<InvalidSetting> checkException(const PendingException &pending)
    {
        const FleetException &exception = pending.exception;
        const int firstLine = pending.lines.empty() ? 0 : pending.lines.begin()->second;
        const auto missing = [firstLine](const char *key, const char *expected) {
            return InvalidSetting{"", firstLine, key, expected};
        };
        if (!pending.hasScope) {
            return missing("scope", "workspace, model, zone or backend");
        }
        if (exception.subject.empty()) {
            return missing("subject", "the workspace, model, zone or backend server address");
        }
        if (exception.reason.empty()) {
            return missing("reason", "the reason for the exception");
        }
        const ConfigKey *key = findConfigKey(exception.key);
        const auto lineOf = [&pending, firstLine](const char *name) {
            const auto found = pending.lines.find(name);
            return found == pending.lines.end() ? firstLine : found->second;
        };
        if (key == nullptr) {
            return InvalidSetting{"", lineOf("key"), "key", "a key of [defaults]"};
        }
        FleetDefaults scratch;
        if (!key->set(scratch, exception.value)) {
            return InvalidSetting{"", lineOf("value"), "value", key->expected};
        }
        return std::nullopt;
    }

    std::map<std::string, PendingException> exceptions;
    std::vector<std::string> order;
};

void append(std::string &text, const std::string &name, const std::string &value)
{
    if (!value.empty()) {
        text += name + " = " + value + "\n";
    }
}

}

boost::leaf::result<FleetConfig> parseConfig(const std::string &text, const std::string &file)
{
    ConfigReader reader;
    auto fault = readIni(text, [&reader](const IniLine &line) { return reader.take(line); });
    if (!fault) {
        fault = reader.finish();
    }
    if (fault) {
        fault->file = file;
        return boost::leaf::new_error(*fault);
    }
    return reader.config;
}

std::string formatConfig(const FleetConfig &config)
{
    std::string text = "[change]\n";
    append(text, "revision", std::to_string(config.revision));
    append(text, "id", config.changeId);
    append(text, "author", config.author);
    text += "\n[defaults]\n";
    for (const ConfigKey &key : configKeys()) {
        append(text, key.name, key.get(config.defaults));
    }
    int number = 0;
    for (const FleetException &exception : config.exceptions) {
        text += "\n[exception " + std::to_string(++number) + "]\n";
        append(text, "scope", std::string(Scopes.at(static_cast<std::size_t>(exception.scope))));
        append(text, "subject", exception.subject);
        append(text, "key", exception.key);
        append(text, "value", exception.value);
        append(text, "reason", exception.reason);
        append(text, "author", exception.author);
        append(text, "expiry", exception.expiry ? formatExpiry(*exception.expiry) : "");
    }
    return text;
}

}
