#pragma once

#include "cyclamencross/base/engineload.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The newest load known of each engine. Thread-safe.
class LoadTable
{
public:
    /// A load that was learned longer ago says little: at 250 ms between reports, four more have been made since.
    static constexpr Millis Lifetime{1000};

    /// Takes @p load, learned at @p now. A load of which the owner has no report is ignored.
    void learn(const EngineLoad &load, TimePoint now);
    /// Returns the load of @p engine if it was learned within the lifetime.
    std::optional<EngineLoad> find(const std::string &engine, TimePoint now) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, EngineLoad> loads;
};

}
