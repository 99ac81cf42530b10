#include "requestdefaults.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace Cyclamen
{

namespace
{

template<typename Number>
Number toNumber(std::string_view text, Number otherwise)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() ? value : otherwise;
}

// Reads a number with its unit, as the fleet configuration checks it: 500ms, 2s, 1min or 1h.
Millis toMillis(std::string_view text, Millis otherwise)
{
    static constexpr std::array<std::pair<std::string_view, int>, 4> Units{
        {{"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}}};
    const std::string_view unit = text.substr(std::min(text.find_first_not_of("0123456789"), text.size()));
    for (const auto &[name, millis] : Units) {
        if (unit == name) {
            return Millis(toNumber<std::int64_t>(text, 0) * millis);
        }
    }
    return otherwise;
}

void apply(FleetDefaults &defaults, const FleetException &exception)
{
    const std::string &value = exception.value;
    if (exception.key == "first_token_target") {
        defaults.firstTokenTarget = toMillis(value, defaults.firstTokenTarget);
    } else if (exception.key == "between_tokens_target") {
        defaults.betweenTokensTarget = toMillis(value, defaults.betweenTokensTarget);
    } else if (exception.key == "request_deadline") {
        defaults.requestDeadline = toMillis(value, defaults.requestDeadline);
    } else if (exception.key == "answer_ttl") {
        defaults.answerTtl = toMillis(value, defaults.answerTtl);
    } else if (exception.key == "retry_budget") {
        defaults.retryBudget = toNumber(value, defaults.retryBudget);
    } else if (exception.key == "wasted_prefill_weight") {
        defaults.wastedPrefillWeight = toNumber(value, defaults.wastedPrefillWeight);
    } else if (exception.key == "max_tokens") {
        defaults.maxTokens = toNumber(value, defaults.maxTokens);
    }
}

}

FleetDefaults requestDefaults(const FleetView &view, const std::string &workspace, const std::string &model,
                              std::int64_t unixTime)
{
    if (!view.config) {
        return {};
    }
    FleetDefaults defaults = view.config->defaults;
    const std::pair<ExceptionScope, std::string> scopes[] = {
        {ExceptionScope::Zone, view.self.zone}, {ExceptionScope::Model, model}, {ExceptionScope::Workspace, workspace}};
    for (const auto &[scope, subject] : scopes) {
        for (const FleetException &exception : view.config->exceptions) {
            const bool inForce = !exception.expiry || *exception.expiry > unixTime;
            if (exception.scope == scope && exception.subject == subject && inForce) {
                apply(defaults, exception);
            }
        }
    }
    return defaults;
}

}
