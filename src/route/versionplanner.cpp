#include "cyclamencross/route/versionplanner.h"

namespace Cyclamen
{

std::optional<ServiceVersions> VersionPlanner::next(const ServiceVersions &recorded, const Registered &registered,
                                                    TimePoint now)
{
    ServiceVersions result = recorded;
    for (const auto &[service, versions] : registered) {
        const auto known = recorded.services().find(service);
        const bool isFirst = known == recorded.services().end() || known->second.empty();
        for (const std::string &version : versions) {
            if (isFirst || !known->second.contains(version)) {
                // No stream of a service can have begun before its first version was recorded.
                result = result.with(service, version,
                                     isFirst ? ServiceVersions::State::Open : ServiceVersions::State::Announced);
            }
        }
    }
    for (const auto &[service, versions] : recorded.services()) {
        const auto present = registered.find(service);
        for (const auto &[version, state] : versions) {
            const ServiceVersion key(service, version);
            if (state != ServiceVersions::State::Announced) {
                this->announcedSince.erase(key);
            } else if (now - since(this->announcedSince, key, now) >= SettleTime) {
                result = result.with(service, version, ServiceVersions::State::Open);
            }
            if (present != registered.end() && present->second.contains(version)) {
                this->absentSince.erase(key);
            } else if (now - since(this->absentSince, key, now) >= RetireTime && versions.size() > 1) {
                result = result.without(service, version);
            }
        }
    }
    return result == recorded ? std::nullopt : std::optional<ServiceVersions>(result);
}

TimePoint VersionPlanner::since(std::map<ServiceVersion, TimePoint> &times, const ServiceVersion &version,
                                TimePoint now)
{
    return times.try_emplace(version, now).first->second;
}

}
