#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Cyclamen
{

/// The configuration in force at this entry. It only ever moves to a greater revision. Thread-safe.
class ConfigStore
{
public:
    using Observer = std::function<void(std::shared_ptr<const FleetConfig>)>;

    /// @param accepted is called with each configuration that comes into force, in order of revision.
    explicit ConfigStore(Observer accepted);

    /// Puts @p config into force unless its revision is not greater than the present one.
    bool accept(FleetConfig config);
    /// Returns the configuration in force; never null.
    std::shared_ptr<const FleetConfig> current() const;

private:
    Observer accepted;
    mutable std::mutex mutex;
    std::shared_ptr<const FleetConfig> config = std::make_shared<const FleetConfig>();
};

}
