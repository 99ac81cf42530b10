#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/serviceversions.h"
#include "cyclamencross/route/streamorigins.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Cyclamen
{

/// Decides how the recorded software versions follow the registered backend servers. A router that knows of only one
/// version takes it for that of every stream, so a new version opens only when no such router can be left, and an old
/// one goes when no stream can be left.
class VersionPlanner
{
public:
    /// Software versions by service.
    using Registered = std::map<std::string, std::set<std::string>>;

    /// Longest time since which a router may not know all changes of the store and still rely on there being only one
    /// version.
    static constexpr Millis TrustAge{700};
    /// Time from the announcement of a version until it opens. Longer than TrustAge, by which the certainty of a router
    /// is too young if a report was under way for long.
    static constexpr Millis SettleTime{1000};
    static_assert(SettleTime > TrustAge);
    /// Time after which a version is dropped that no backend server has.
    static constexpr Millis RetireTime = StreamOrigins::MaxLifetime;

    /// Returns the versions to be recorded instead of @p recorded; std::nullopt if these stay. The times count from the
    /// first call with a state, so those of a router that has just started are longer.
    /// @param recorded versions that the store has.
    /// @param registered versions of the registered backend servers.
    std::optional<ServiceVersions> next(const ServiceVersions &recorded, const Registered &registered, TimePoint now);

private:
    using ServiceVersion = std::pair<std::string, std::string>;
    /// Returns since when a version is in a state that @p times is about, and records that it is.
    static TimePoint since(std::map<ServiceVersion, TimePoint> &times, const ServiceVersion &version, TimePoint now);

    std::map<ServiceVersion, TimePoint> announcedSince;
    std::map<ServiceVersion, TimePoint> absentSince;
};

}
