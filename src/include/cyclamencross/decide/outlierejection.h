#pragma once

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Passes over backend servers that fail again and again, but never more than a share of a pool. Not thread-safe.
class OutlierEjection
{
public:
    static constexpr int FailuresToEject = 3;
    static constexpr Millis FirstEjection{1000};
    static constexpr Millis LongestEjection{30000};
    static constexpr double LargestShare = 0.3;

    void success(const std::string &backend);
    void failure(const std::string &backend, TimePoint now);
    /// Returns @p pool without its ejected backend servers; at most LargestShare of it is left out.
    std::vector<std::string> filter(const std::vector<std::string> &pool, TimePoint now) const;

private:
    struct Record
    {
        int failures = 0;
        int ejections = 0;
        TimePoint until;
    };
    std::map<std::string, Record> records;
};

}
