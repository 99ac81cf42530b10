#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>
#include <mutex>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// A report that is refreshed at most once per lag, so that readers get outdated values. Thread-safe.
class LaggedReport
{
public:
    using Source = std::function<nlohmann::json()>;

    LaggedReport(Millis lag, Source source);

    /// Returns the current report, with its sequence number as member "seq".
    nlohmann::json latest();

private:
    Millis lag;
    Source source;
    std::mutex mutex;
    nlohmann::json report;
    std::uint64_t sequence = 0;
    TimePoint refreshTime;
};

}
