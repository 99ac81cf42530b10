#pragma once

#include "configsync.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <optional>

namespace Cyclamen
{

class Metrics;

/// Watches the configuration in the key-value service on a thread of its own while this entry is one of the watchers
/// of its availability zone.
class ConfigWatch
{
public:
    /// Watchers in an availability zone: the second covers for a first whose connection is broken.
    static constexpr std::size_t WatchersPerZone = 2;

    ConfigWatch(const Settings &settings, ConfigSync &sync, Metrics &metrics);
    ~ConfigWatch();
    ConfigWatch(const ConfigWatch &) = delete;
    ConfigWatch &operator=(const ConfigWatch &) = delete;

    /// Starts the thread.
    void start();
    /// Sets the place of this entry among the watchers; 0 is the first, which writes back a newer configuration.
    /// Never blocks for long.
    void setRank(std::optional<std::size_t> rank);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
