#include "cyclamencross/route/serviceversions.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

ServiceVersions::ServiceVersions(std::map<std::string, Versions> services)
    : versionsOfService(std::move(services))
{
}

const std::map<std::string, ServiceVersions::Versions> &ServiceVersions::services() const
{
    return this->versionsOfService;
}

bool ServiceVersions::isOpen(const std::string &service, const std::string &version) const
{
    const auto versions = this->versionsOfService.find(service);
    if (versions == this->versionsOfService.end()) {
        return false;
    }
    const auto state = versions->second.find(version);
    return state != versions->second.end() && state->second == State::Open;
}

std::optional<std::string> ServiceVersions::only(const std::string &service) const
{
    const auto versions = this->versionsOfService.find(service);
    if (versions == this->versionsOfService.end() || versions->second.size() != 1) {
        return std::nullopt;
    }
    return versions->second.begin()->first;
}

bool ServiceVersions::hasSeveral(const std::string &service) const
{
    const auto versions = this->versionsOfService.find(service);
    return versions != this->versionsOfService.end() && versions->second.size() > 1;
}

bool ServiceVersions::anyHasSeveral() const
{
    return std::any_of(this->versionsOfService.begin(), this->versionsOfService.end(),
                       [](const auto &service) { return service.second.size() > 1; });
}

ServiceVersions ServiceVersions::with(const std::string &service, const std::string &version, State state) const
{
    ServiceVersions result = *this;
    result.versionsOfService[service][version] = state;
    return result;
}

ServiceVersions ServiceVersions::without(const std::string &service, const std::string &version) const
{
    ServiceVersions result = *this;
    if (const auto versions = result.versionsOfService.find(service); versions != result.versionsOfService.end()) {
        versions->second.erase(version);
    }
    return result;
}

ServiceVersions ServiceVersions::mergedWith(const ServiceVersions &other) const
{
    ServiceVersions result = *this;
    for (const auto &[service, versions] : other.versionsOfService) {
        for (const auto &[version, state] : versions) {
            if (!result.isOpen(service, version)) {
                result = result.with(service, version, state);
            }
        }
    }
    return result;
}

}
