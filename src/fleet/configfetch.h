#pragma once

#include "configstore.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <string>

namespace Cyclamen
{

/// Fetches a newer configuration from the peer that has it, on a thread of its own and one at a time.
class ConfigFetch
{
public:
    ConfigFetch(const Settings &settings, ConfigStore &store);
    ~ConfigFetch();
    ConfigFetch(const ConfigFetch &) = delete;
    ConfigFetch &operator=(const ConfigFetch &) = delete;

    /// Asks for the configuration at @p adminAddress. Replaces an earlier order that has not begun. Never blocks.
    void order(const std::string &adminAddress, std::uint64_t revision);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
