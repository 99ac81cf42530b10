#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// The emulated platform's list of hosts. A new list becomes visible after a lag. Thread-safe.
class HostList
{
public:
    explicit HostList(Millis lag);

    /// Replaces the list.
    /// @return the version of the new list.
    std::uint64_t set(const nlohmann::json &hosts);
    /// Returns the list that is visible now: {"version", "hosts"}.
    nlohmann::json visibleList();
    /// If @p enabled, keeps the list that is visible now until freeze(false).
    void freeze(bool enabled);

private:
    struct Version
    {
        TimePoint visibleFrom;
        nlohmann::json list;
    };
    nlohmann::json newestVisibleList();

    Millis lag;
    std::mutex mutex;
    std::deque<Version> versions;
    std::uint64_t nextVersion = 1;
    bool frozen = false;
    nlohmann::json frozenList;
};

}
