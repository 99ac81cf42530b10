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

using BySecond = std::map<std::size_t, std::size_t>;

nlohmann::json series(const BySecond &counts)
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

bool LoadReport::isGood(const RequestRecord &record, double first) const
{
    return record.outcome == "done" && first <= std::chrono::duration<double>(this->options.firstTarget).count()
        && record.between <= std::chrono::duration<double>(this->options.betweenTarget).count();
}

nlohmann::json LoadReport::sumUp(bool services) const
{
    std::map<std::string, std::size_t> outcomes;
    BySecond arrivals;
    BySecond goodEnds;
    BySecond goodArrivals;
    BySecond goodAttemptEnds;
    std::vector<double> first;
    std::vector<double> between;
    std::size_t count = 0;
    std::size_t good = 0;
    std::size_t goodAttempts = 0;
    std::size_t attempts = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t repeated = 0;
    for (const RequestRecord &record : this->records) {
        if (record.isService != services) {
            continue;
        }
        ++count;
        ++outcomes[record.outcome];
        attempts += static_cast<std::size_t>(record.attempts);
        refused += static_cast<std::size_t>(record.refused);
        late += static_cast<std::size_t>(record.late);
        repeated += record.repeatedExecution ? 1 : 0;
        const auto arrived = static_cast<std::size_t>(record.arrival);
        ++arrivals[arrived];
        if (this->isGood(record, record.firstOfAttempt)) {
            ++goodAttempts;
            ++goodAttemptEnds[static_cast<std::size_t>(record.end)];
        }
        if (this->isGood(record, record.first)) {
            ++good;
            ++goodArrivals[arrived];
            ++goodEnds[static_cast<std::size_t>(record.end)];
        }
        if (record.first >= 0) {
            first.push_back(record.first);
        }
        if (record.between >= 0) {
            between.push_back(record.between);
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
            {"first_output_s", percentiles(first)},
            {"between_outputs_s", percentiles(between)},
            {"arrivals_by_second", series(arrivals)},
            {"good_by_arrival", series(goodArrivals)},
            {"good_from_last_attempt_by_end", series(goodAttemptEnds)},
            {"good_by_end", series(goodEnds)}};
}

nlohmann::json LoadReport::toJson() const
{
    const std::lock_guard lock(this->mutex);
    return {{"seed", this->options.seed}, {"rate", this->options.rate},  {"duration_s", this->options.duration},
            {"unsent", this->unsent},     {"model", this->sumUp(false)}, {"service", this->sumUp(true)}};
}
}
