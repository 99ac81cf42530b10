#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The software versions of each service at which a stream may have begun that can still be taken up, as all routers
/// know them from the store. A stream goes on only at the version that began it. Immutable.
class ServiceVersions
{
public:
    enum class State : std::uint8_t {
        Announced, ///< No stream begins at it yet: some routers may not know of it.
        Open, ///< Streams may begin at it.
    };
    using Versions = std::map<std::string, State>; ///< By version.

    ServiceVersions() = default;
    explicit ServiceVersions(std::map<std::string, Versions> services);

    /// Returns the versions by service.
    const std::map<std::string, Versions> &services() const;
    /// Returns whether streams may begin at a version.
    bool isOpen(const std::string &service, const std::string &version) const;
    /// Returns the version of a service that has only one; std::nullopt if it has none or several.
    std::optional<std::string> only(const std::string &service) const;
    /// Returns whether a service has more than one version.
    bool hasSeveral(const std::string &service) const;
    /// Returns whether any service has more than one version.
    bool anyHasSeveral() const;
    /// Returns these versions with one that is added or in another state.
    ServiceVersions with(const std::string &service, const std::string &version, State state) const;
    /// Returns these versions without one of them.
    ServiceVersions without(const std::string &service, const std::string &version) const;
    /// Returns the versions that either of the two has; open if they are open in one of them.
    ServiceVersions mergedWith(const ServiceVersions &other) const;

    bool operator==(const ServiceVersions &) const = default;

private:
    std::map<std::string, Versions> versionsOfService;
};

}
