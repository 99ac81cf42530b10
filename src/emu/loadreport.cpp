#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using CountsBySecond = std::map<std::size_t, std::size_t>;

nlohmann::json toSeries(const CountsBySecond &counts)
{
    const std::size_t seconds = counts.empty() ? 0 : counts.rbegin()->first + 1;
    std::vector<std::size_t> list(seconds, 0);
    for (const auto &[second, count] : counts) {
        list[second] = count;
    }
    return list;
}

nlohmann::json percentiles(std::vector<double> values)
{
    nlohmann::json out = {{"count", values.size()}};
    if (values.empty()) {
        return out;
    }
    std::ranges::sort(values);
    const std::map<std::string, double> wanted = {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}, {"max", 1}};
    for (const auto &[name, share] : wanted) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * double(values.size())));
        out[name] = values[std::max<std::size_t>(rank, 1) - 1];
    }
    return out;
}

}

LoadReport::LoadReport(const LoadOptions &options)
    : options(options)
{
}

void LoadReport::add(const RequestRecord &record)
{
    const std::lock_guard lock(this->mutex);
    this->records.push_back(record);
}

void LoadReport::addUnsent()
{
    const std::lock_guard lock(this->mutex);
    ++this->unsent;
}

bool LoadReport::isGood(const RequestRecord &record, double timeToFirstOutput) const
{
    return record.outcome == "done"
        && timeToFirstOutput <= std::chrono::duration<double>(this->options.firstOutputTarget).count()
        && record.timeBetweenOutputs <= std::chrono::duration<double>(this->options.outputGapTarget).count();
}

nlohmann::json LoadReport::summarize(bool serviceCalls) const
{
    std::map<std::string, std::size_t> outcomes;
    CountsBySecond arrivals;
    CountsBySecond goodEnds;
    CountsBySecond goodArrivals;
    CountsBySecond goodAttemptEnds;
    std::vector<double> firstOutputTimes;
    std::vector<double> outputGaps;
    std::size_t count = 0;
    std::size_t good = 0;
    std::size_t goodAttempts = 0;
    std::size_t attempts = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t repeated = 0;
    for (const RequestRecord &record : this->records) {
        if (record.isServiceCall != serviceCalls) {
            continue;
        }
        ++count;
        ++outcomes[record.outcome];
        attempts += static_cast<std::size_t>(record.attempts);
        refused += static_cast<std::size_t>(record.refusedAttempts);
        late += static_cast<std::size_t>(record.lateAttempts);
        repeated += record.repeatedExecution ? 1 : 0;
        const auto arrived = static_cast<std::size_t>(record.arrival);
        ++arrivals[arrived];
        if (this->isGood(record, record.attemptTimeToFirstOutput)) {
            ++goodAttempts;
            ++goodAttemptEnds[static_cast<std::size_t>(record.end)];
        }
        if (this->isGood(record, record.timeToFirstOutput)) {
            ++good;
            ++goodArrivals[arrived];
            ++goodEnds[static_cast<std::size_t>(record.end)];
        }
        if (record.timeToFirstOutput >= 0) {
            firstOutputTimes.push_back(record.timeToFirstOutput);
        }
        if (record.timeBetweenOutputs >= 0) {
            outputGaps.push_back(record.timeBetweenOutputs);
        }
    }
    return {{"requests", count},
            {"good", good},
            {"good_from_last_attempt", goodAttempts},
            {"goodput_per_second", double(good) / std::max(0.001, this->options.duration)},
            {"outcomes", outcomes},
            {"attempts", attempts},
            {"retries", attempts - count},
            {"refused_attempts", refused},
            {"late_attempts", late},
            {"repeated_executions", repeated},
            {"first_output_s", percentiles(firstOutputTimes)},
            {"between_outputs_s", percentiles(outputGaps)},
            {"arrivals_by_second", toSeries(arrivals)},
            {"good_by_arrival", toSeries(goodArrivals)},
            {"good_from_last_attempt_by_end", toSeries(goodAttemptEnds)},
            {"good_by_end", toSeries(goodEnds)}};
}

nlohmann::json LoadReport::toJson() const
{
    const std::lock_guard lock(this->mutex);
    return {{"seed", this->options.seed}, {"rate", this->options.rate},      {"duration_s", this->options.duration},
            {"unsent", this->unsent},     {"model", this->summarize(false)}, {"service", this->summarize(true)}};
}
}
