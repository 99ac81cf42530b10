#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// The platform's list of hosts, which its readers see with a lag. Thread-safe.
class HostList
{
public:
    explicit HostList(Millis lag);

    /// Replaces the list. @return its version.
    std::uint64_t set(const nlohmann::json &hosts);
    /// Returns the list as readers see it: {"version", "hosts"}.
    nlohmann::json visible();
    /// Keeps showing the list that is visible now, until freeze(false).
    void freeze(bool on);

private:
    struct Version
    {
        TimePoint visible;
        nlohmann::json list;
    };
    nlohmann::json newestVisible();

    Millis lag;
    std::mutex mutex;
    std::deque<Version> versions;
    std::uint64_t nextVersion = 1;
    bool frozen = false;
    nlohmann::json frozenList;
};

}
