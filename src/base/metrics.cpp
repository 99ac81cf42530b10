#include "cyclamencross/base/metrics.h"

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Cyclamen
{

namespace
{

// In seconds. The latency targets of 74 ms between outputs and 420 ms to the first output are bucket boundaries
// themselves.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.074, 0.1,
                                                             0.2,    0.3,   0.42,  0.6,   1,    2,    5,    10,    30};

}

struct Metrics::Impl
{
    mutable std::mutex mutex;
    prometheus::Registry registry;
    struct CounterFamily
    {
        prometheus::Family<prometheus::Counter> *family = nullptr;
        std::map<Labels, prometheus::Counter *> series;
    };
    std::map<std::string, CounterFamily> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const Labels &labels, double amount)
{
    const std::scoped_lock lock(this->impl->mutex);
    Impl::CounterFamily &counter = this->impl->counters[name];
    if (counter.family == nullptr) {
        counter.family = &prometheus::BuildCounter().Name(name).Register(this->impl->registry);
    }
    prometheus::Counter *&series = counter.series[labels];
    if (series == nullptr) {
        series = &counter.family->Add(labels);
    }
    series->Increment(amount);
}

void Metrics::removeCounters(const std::string &label, const std::string &value)
{
    const std::scoped_lock lock(this->impl->mutex);
    for (auto &[name, counter] : this->impl->counters) {
        std::erase_if(counter.series, [&, family = counter.family](const auto &series) {
            const auto it = series.first.find(label);
            const bool isRemoved = it != series.first.end() && it->second == value;
            if (isRemoved) {
                family->Remove(series.second);
            }
            return isRemoved;
        });
    }
}

void Metrics::set(const std::string &name, double value, const Labels &labels)
{
    const std::scoped_lock lock(this->impl->mutex);
    auto &family = this->impl->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(name).Register(this->impl->registry);
    }
    family->Add(labels).Set(value);
}

void Metrics::removeGauge(const std::string &name, const Labels &labels)
{
    const std::scoped_lock lock(this->impl->mutex);
    const auto family = this->impl->gauges.find(name);
    if (family != this->impl->gauges.end()) {
        family->second->Remove(&family->second->Add(labels));
    }
}

void Metrics::observe(const std::string &name, double seconds, const Labels &labels)
{
    const std::scoped_lock lock(this->impl->mutex);
    auto &family = this->impl->histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(name).Register(this->impl->registry);
    }
    family->Add(labels, LatencyBuckets).Observe(seconds);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}
