#pragma once

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Ejects backend servers that fail repeatedly from their pool for a limited time, but never more than a share of the
/// pool. Not thread-safe.
class OutlierEjection
{
public:
    /// Consecutive failures after which a backend server is ejected.
    static constexpr int FailuresToEject = 3;
    /// Duration of the first ejection; each further one without a success in between lasts twice as long.
    static constexpr Millis BaseEjectionTime{1000};
    static constexpr Millis MaxEjectionTime{30000};
    /// Largest share of a pool that filter() removes.
    static constexpr double MaxEjectedShare = 0.3;

    /// Records a successful request. It resets the failure counts, but does not end an ejection early.
    void success(const std::string &backend);
    /// Records a failed request. Failures during an ejection are not counted.
    void failure(const std::string &backend, TimePoint now);
    /// Returns @p pool without its ejected backend servers; at most MaxEjectedShare of it is removed.
    std::vector<std::string> filter(const std::vector<std::string> &pool, TimePoint now) const;

private:
    struct Record
    {
        int failures = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
    };
    std::map<std::string, Record> records;
};

}
