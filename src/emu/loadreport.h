#pragma once

#include "loadoptions.h"
#include "requestrecord.h"

#include <mutex>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

/// Collects the records of a run and summarizes them. Thread-safe.
class LoadReport
{
public:
    explicit LoadReport(const LoadOptions &options);

    void add(const RequestRecord &record);
    /// Counts a request that was not sent because too many requests were in progress.
    void addUnsent();
    /// Returns the report; docs/emulator.md describes its members.
    nlohmann::json toJson() const;

private:
    /// Returns whether a request was answered completely and met the latency targets.
    /// @param timeToFirstOutput the time to compare with the target, in seconds.
    bool isGood(const RequestRecord &record, double timeToFirstOutput) const;
    nlohmann::json summarize(bool serviceCalls) const;

    LoadOptions options;
    mutable std::mutex mutex;
    std::vector<RequestRecord> records;
    std::size_t unsent = 0;
};

}
