#include "cyclamencross/decide/configkeys.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace Cyclamen
{

namespace
{

struct Unit
{
    std::string_view name;
    std::int64_t millis = 1;
};

// Compared with the whole text after the number, so that "s" does not match "ms".
constexpr std::array<Unit, 4> Units{Unit{"ms", 1}, Unit{"s", 1000}, Unit{"min", 60000}, Unit{"h", 3600000}};

std::optional<Millis> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(rest, static_cast<std::size_t>(text.data() + text.size() - rest));
    const auto found = std::find_if(Units.begin(), Units.end(), [unit](const Unit &u) { return u.name == unit; });
    // The upper bound keeps the product below within 64 bits.
    if (error != std::errc() || found == Units.end() || number < 0 || number > 1000000000) {
        return std::nullopt;
    }
    return Millis(number * found->millis);
}

std::string formatDuration(Millis duration)
{
    return std::to_string(duration.count()) + "ms";
}

std::string formatNumber(double number)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    return {text.data(), end};
}

ConfigKey durationKey(const char *name, Millis FleetDefaults::*member, Millis minimum, Millis maximum)
{
    return ConfigKey{name,
                     "a duration with its unit (ms, s, min, h) from " + formatDuration(minimum) + " to "
                         + formatDuration(maximum),
                     [member, minimum, maximum](FleetDefaults &defaults, const std::string &text) {
                         const auto value = parseDuration(text);
                         if (!value || *value < minimum || *value > maximum) {
                             return false;
                         }
                         defaults.*member = *value;
                         return true;
                     },
                     [member](const FleetDefaults &defaults) { return formatDuration(defaults.*member); }};
}

ConfigKey shareKey(const char *name, double FleetDefaults::*member)
{
    return ConfigKey{name, "a number from 0 to 1",
                     [member](FleetDefaults &defaults, const std::string &text) {
                         double value = 0;
                         const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
                         // Written so that "nan" is rejected too.
                         if (error != std::errc() || rest != text.data() + text.size() || !(value >= 0 && value <= 1)) {
                             return false;
                         }
                         defaults.*member = value;
                         return true;
                     },
                     [member](const FleetDefaults &defaults) { return formatNumber(defaults.*member); }};
}

ConfigKey integerKey(const char *name, int FleetDefaults::*member, int minimum, int maximum)
{
    return ConfigKey{name, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
                     [member, minimum, maximum](FleetDefaults &defaults, const std::string &text) {
                         int value = 0;
                         const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
                         if (error != std::errc() || rest != text.data() + text.size() || value < minimum
                             || value > maximum) {
                             return false;
                         }
                         defaults.*member = value;
                         return true;
                     },
                     [member](const FleetDefaults &defaults) { return std::to_string(defaults.*member); }};
}

}

const std::vector<ConfigKey> &configKeys()
{
    using std::chrono::hours;
    using std::chrono::minutes;
    using std::chrono::seconds;
    static const std::vector<ConfigKey> Keys{
        durationKey("first_token_target", &FleetDefaults::firstTokenTarget, Millis(10), seconds(60)),
        durationKey("between_tokens_target", &FleetDefaults::betweenTokensTarget, Millis(1), seconds(10)),
        durationKey("request_deadline", &FleetDefaults::requestDeadline, seconds(1), hours(1)),
        durationKey("answer_ttl", &FleetDefaults::answerTtl, seconds(1), minutes(5)),
        shareKey("retry_budget", &FleetDefaults::retryBudget),
        shareKey("wasted_prefill_weight", &FleetDefaults::wastedPrefillWeight),
        integerKey("max_tokens", &FleetDefaults::maxTokens, 1, 1000000),
    };
    return Keys;
}

const ConfigKey *findConfigKey(const std::string &name)
{
    for (const ConfigKey &key : configKeys()) {
        if (key.name == name) {
            return &key;
        }
    }
    return nullptr;
}

}
