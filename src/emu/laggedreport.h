#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>
#include <mutex>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// A report that is renewed only once per lag, so that its reader sees the past. Thread-safe.
class LaggedReport
{
public:
    using Source = std::function<nlohmann::json()>;

    LaggedReport(Millis lag, Source source);

    /// Returns the report in force, with its number as member "seq".
    nlohmann::json latest();

private:
    Millis lag;
    Source source;
    std::mutex mutex;
    nlohmann::json report;
    std::uint64_t sequence = 0;
    TimePoint taken;
};

}
