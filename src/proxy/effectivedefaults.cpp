#include "effectivedefaults.h"

#include <cstdlib>

namespace Cyclamen
{

namespace
{

// Reads "420", "420 ms" or "2 s".
Millis toMillis(const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const std::string unit = end;
    const bool seconds = !unit.empty() && unit.back() == 's' && !unit.ends_with("ms");
    return Millis(static_cast<std::int64_t>(seconds ? value * 1000 : value));
}

void apply(FleetDefaults &defaults, const FleetException &exception)
{
    const std::string &value = exception.value;
    if (exception.key == "first_token_target_ms") {
        defaults.firstTokenTarget = toMillis(value);
    } else if (exception.key == "between_tokens_target_ms") {
        defaults.betweenTokensTarget = toMillis(value);
    } else if (exception.key == "request_deadline_ms") {
        defaults.requestDeadline = toMillis(value);
    } else if (exception.key == "answer_ttl_ms") {
        defaults.answerTtl = toMillis(value);
    } else if (exception.key == "retry_budget") {
        defaults.retryBudget = std::strtod(value.c_str(), nullptr);
    } else if (exception.key == "wasted_prefill_weight") {
        defaults.wastedPrefillWeight = std::strtod(value.c_str(), nullptr);
    } else if (exception.key == "max_tokens") {
        defaults.maxTokens = std::atoi(value.c_str());
    }
}

}

FleetDefaults effectiveDefaults(const FleetView &view, const std::string &workspace, const std::string &model,
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
