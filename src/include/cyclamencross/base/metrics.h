#pragma once

#include <map>
#include <memory>
#include <string>

namespace Cyclamen
{

/// Registry of the counters, gauges and latency histograms of this process. Thread-safe.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    ~Metrics();

    /// Adds @p amount to the counter @p name. A metric is created when it is first used.
    void count(const std::string &name, const Labels &labels = {}, double amount = 1);
    /// Sets the gauge @p name.
    void set(const std::string &name, double value, const Labels &labels = {});
    /// Removes the gauge @p name with the given labels.
    void removeGauge(const std::string &name, const Labels &labels);
    /// Adds @p seconds to the latency histogram @p name.
    void observe(const std::string &name, double seconds, const Labels &labels = {});
    /// Removes all counters whose label @p label has the value @p value.
    void removeCounters(const std::string &label, const std::string &value);
    /// Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
