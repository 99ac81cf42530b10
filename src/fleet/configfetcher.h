#pragma once

#include "configstore.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <string>

namespace Cyclamen
{

/// Downloads newer configurations from peers, one at a time on a background thread.
class ConfigFetcher
{
public:
    ConfigFetcher(const Settings &settings, ConfigStore &store);
    ~ConfigFetcher();
    ConfigFetcher(const ConfigFetcher &) = delete;
    ConfigFetcher &operator=(const ConfigFetcher &) = delete;

    /// Schedules a download from the peer at @p adminAddress, which is skipped if @p revision is not newer than the
    /// configuration in force. Replaces a request that has not started yet. Does not wait for the download.
    void request(const std::string &adminAddress, std::uint64_t revision);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
