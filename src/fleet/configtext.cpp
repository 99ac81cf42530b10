#include "cyclamencross/fleet/configtext.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/inifile.h"
#include "cyclamencross/decide/configkeys.h"

#include <array>
#include <charconv>
#include <ctime>
#include <map>
#include <optional>
#include <set>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::string_view ExceptionPrefix = "exception ";
constexpr auto ExpiryFormat = "%Y-%m-%dT%H:%M:%SZ";
constexpr std::array<std::string_view, 4> Scopes{"workspace", "model", "zone", "backend"};

// An exception that is being parsed, with the line of each key for error messages.
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

// Builds a configuration from INI entries.
class ConfigReader
{
public:
    // Returns what was expected if the entry is invalid.
    std::optional<std::string> readEntry(const IniEntry &entry)
    {
        if (entry.section == "change") {
            return this->readChangeEntry(entry);
        }
        if (entry.section == "defaults") {
            const ConfigKey *key = findConfigKey(entry.key);
            if (key == nullptr) {
                return "a key of [defaults]";
            }
            return key->set(this->config.defaults, entry.value) ? std::nullopt : std::optional(key->expected);
        }
        if (entry.section.starts_with(ExceptionPrefix) && entry.section.size() > ExceptionPrefix.size()) {
            return this->readExceptionEntry(entry);
        }
        return "the section [change], [defaults] or [exception NAME]";
    }

    // Validates the exceptions once all their keys are known.
    std::optional<InvalidSetting> finish()
    {
        for (const std::string &name : this->order) {
            PendingException &pending = this->exceptions.at(name);
            if (const auto fault = validateException(pending)) {
                return fault;
            }
            this->config.exceptions.push_back(pending.exception);
        }
        return std::nullopt;
    }

    FleetConfig config;

private:
    std::optional<std::string> readChangeEntry(const IniEntry &entry)
    {
        if (entry.key == "id") {
            this->config.changeId = entry.value;
        } else if (entry.key == "author") {
            this->config.author = entry.value;
        } else if (entry.key == "revision") {
            const char *end = entry.value.data() + entry.value.size();
            const auto [rest, error] = std::from_chars(entry.value.data(), end, this->config.revision);
            if (error != std::errc() || rest != end) {
                return "a whole number";
            }
        } else {
            return "revision, id or author";
        }
        return std::nullopt;
    }

    std::optional<std::string> readExceptionEntry(const IniEntry &entry)
    {
        const auto [found, isNew] = this->exceptions.try_emplace(entry.section);
        if (isNew) {
            this->order.push_back(entry.section);
        }
        PendingException &pending = found->second;
        FleetException &exception = pending.exception;
        pending.lines[entry.key] = entry.line;
        if (entry.key == "scope") {
            for (std::size_t i = 0; i < Scopes.size(); ++i) {
                if (entry.value == Scopes[i]) {
                    exception.scope = static_cast<ExceptionScope>(i);
                    pending.hasScope = true;
                }
            }
            return pending.hasScope ? std::nullopt : std::optional<std::string>("workspace, model, zone or backend");
        }
        if (entry.key == "expiry") {
            exception.expiry = parseExpiry(entry.value);
            return exception.expiry ? std::nullopt : std::optional<std::string>("a time like 2026-12-31T23:59:59Z");
        }
        const std::map<std::string, std::string *> texts{{"subject", &exception.subject},
                                                         {"key", &exception.key},
                                                         {"value", &exception.value},
                                                         {"reason", &exception.reason},
                                                         {"author", &exception.author}};
        const auto text = texts.find(entry.key);
        if (text == texts.end()) {
            return "scope, subject, key, value, reason, author or expiry";
        }
        *text->second = entry.value;
        return std::nullopt;
    }

    static std::optional<InvalidSetting> validateException(const PendingException &pending)
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
    BOOST_LEAF_AUTO(entries, parseIni(text, file));
    ConfigReader reader;
    std::set<std::pair<std::string, std::string>> seen;
    for (const IniEntry &entry : entries) {
        if (entry.key.empty()) {
            continue; // A section header.
        }
        const auto expected = seen.emplace(entry.section, entry.key).second
            ? reader.readEntry(entry)
            : std::optional<std::string>("a key that appears once in its section");
        if (expected) {
            return boost::leaf::new_error(InvalidSetting{file, entry.line, entry.key, *expected});
        }
    }
    if (auto fault = reader.finish()) {
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
