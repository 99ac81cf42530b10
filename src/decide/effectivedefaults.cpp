#include "cyclamencross/decide/effectivedefaults.h"

#include "cyclamencross/decide/configkeys.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// From the widest to the narrowest scope; a narrower one overrides a wider one.
constexpr ExceptionScope ScopeOrder[]{ExceptionScope::Zone, ExceptionScope::Model, ExceptionScope::Workspace,
                                      ExceptionScope::Backend};

const std::string &subjectOf(const ConfigSubject &subject, ExceptionScope scope)
{
    switch (scope) {
    case ExceptionScope::Workspace:
        return subject.workspace;
    case ExceptionScope::Model:
        return subject.model;
    case ExceptionScope::Zone:
        return subject.zone;
    case ExceptionScope::Backend:
        break;
    }
    return subject.backend;
}

std::string scopeName(ExceptionScope scope)
{
    switch (scope) {
    case ExceptionScope::Workspace:
        return "workspace";
    case ExceptionScope::Model:
        return "model";
    case ExceptionScope::Zone:
        return "zone";
    case ExceptionScope::Backend:
        break;
    }
    return "backend";
}

std::vector<FleetException> matchingExceptions(const FleetConfig &config, const ConfigSubject &subject,
                                               std::int64_t now)
{
    std::vector<FleetException> found;
    for (const ExceptionScope scope : ScopeOrder) {
        for (const FleetException &exception : config.exceptions) {
            const bool inForce = !exception.expiry || now < *exception.expiry;
            if (exception.scope == scope && inForce && !exception.subject.empty()
                && exception.subject == subjectOf(subject, scope)) {
                found.push_back(exception);
            }
        }
    }
    return found;
}

}

FleetDefaults effectiveDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now)
{
    FleetDefaults defaults = config.defaults;
    for (const FleetException &exception : matchingExceptions(config, subject, now)) {
        const ConfigKey *key = findConfigKey(exception.key);
        if (key != nullptr) {
            key->set(defaults, exception.value);
        }
    }
    return defaults;
}

std::vector<ValueSource> explainDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now)
{
    const FleetDefaults values = effectiveDefaults(config, subject, now);
    const auto exceptions = matchingExceptions(config, subject, now);
    std::vector<ValueSource> sources;
    for (const ConfigKey &key : configKeys()) {
        ValueSource source{key.name, key.get(values), "defaults", "", config.author};
        const auto last = std::find_if(exceptions.rbegin(), exceptions.rend(),
                                       [&key](const FleetException &e) { return e.key == key.name; });
        if (last != exceptions.rend()) {
            source.source = scopeName(last->scope) + " " + last->subject;
            source.reason = last->reason;
            source.author = last->author;
        }
        sources.push_back(std::move(source));
    }
    return sources;
}

}
