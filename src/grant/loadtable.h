#pragma once

#include "cyclamencross/base/engineload.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The latest known load of each engine. Thread-safe.
class LoadTable
{
public:
    /// Age above which a load is outdated: at 250 ms between reports, four newer reports exist by then.
    static constexpr Millis MaxAge{1000};

    /// Stores @p load with the time @p now. A load without a report of the engine is ignored.
    void update(const EngineLoad &load, TimePoint now);
    /// Returns the load of @p engine if it is not older than MaxAge at @p now.
    std::optional<EngineLoad> find(const std::string &engine, TimePoint now) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, EngineLoad> loads;
};

}
