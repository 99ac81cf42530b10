#pragma once

#include "loadoptions.h"
#include "requestrecord.h"

#include <mutex>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

/// Collects the records of a run and sums them up. Thread-safe.
class LoadReport
{
public:
    explicit LoadReport(const LoadOptions &options);

    void add(const RequestRecord &record);
    /// Counts a request that was not sent because too many were in progress.
    void addUnsent();
    /// Returns the report; docs/emulator.md describes its members.
    nlohmann::json toJson() const;

private:
    bool isGood(const RequestRecord &record, double first) const;
    nlohmann::json sumUp(bool services) const;

    LoadOptions options;
    mutable std::mutex mutex;
    std::vector<RequestRecord> records;
    std::size_t unsent = 0;
};

}
