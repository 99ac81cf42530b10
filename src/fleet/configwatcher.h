#pragma once

#include "configsync.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <optional>

namespace Cyclamen
{

class Metrics;

/// Watches the configuration in the key-value service on a background thread while this entry is one of the watchers of
/// its availability zone.
class ConfigWatcher
{
public:
    /// Watchers in each availability zone. The second one covers for the first while its connection is broken.
    static constexpr std::size_t WatchersPerZone = 2;

    ConfigWatcher(const Settings &settings, ConfigSync &sync, Metrics &metrics);
    ~ConfigWatcher();
    ConfigWatcher(const ConfigWatcher &) = delete;
    ConfigWatcher &operator=(const ConfigWatcher &) = delete;

    /// Starts the thread.
    void start();
    /// Sets the rank of this entry among the watchers of its availability zone, or nothing if it is not a watcher. Rank
    /// 0 writes the configuration in force back if the stored one is older. Does not wait for the service.
    void setRank(std::optional<std::size_t> rank);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
