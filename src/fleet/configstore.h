#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Cyclamen
{

/// Holds the configuration in force at this entry, whose revision never decreases. Thread-safe.
class ConfigStore
{
public:
    using Observer = std::function<void(std::shared_ptr<const FleetConfig>)>;

    /// @param observer called with each configuration that comes into force, in order of revision. It runs under a lock
    /// and must not call back into this object.
    explicit ConfigStore(Observer observer);

    /// Puts @p config into force if its revision is greater than the current one.
    /// @return whether it came into force.
    bool accept(FleetConfig config);
    /// Returns the configuration in force; never null.
    std::shared_ptr<const FleetConfig> current() const;

private:
    Observer observer;
    mutable std::mutex mutex;
    std::shared_ptr<const FleetConfig> config = std::make_shared<const FleetConfig>();
};

}
