#include "cyclamencross/route/backendhealth.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Weight of the newest sample in the moving average of the prefill time, which covers about the last five prompts.
constexpr double PrefillSampleWeight = 0.2;
// Weight of the newest sample in the moving average of an engine's pace, and in that of all engines, which must not
// follow a few slow engines.
constexpr double PaceSampleWeight = 0.25;
constexpr double AveragePaceWeight = 0.01;

}

void BackendHealth::add(const std::string &backend, CallOutcome outcome, TimePoint now, double weight)
{
    const double decayedRate = this->failureRate(backend, now);
    Record &record = this->records[backend];
    record.failureRate = decayedRate;
    record.updated = now;
    if (outcome == CallOutcome::Rejected) {
        return;
    }
    const double effectiveWeight = OutcomeWeight * weight;
    if (outcome == CallOutcome::Served) {
        record.failureRate *= 1 - effectiveWeight;
        record.connectFailures = 0;
        record.avoidedUntil = TimePoint();
        return;
    }
    // A broken connection counts twice: an error status may come from the application of a healthy backend server.
    const double severity = outcome == CallOutcome::Failed ? 1 : 2;
    record.failureRate += std::min(1.0, effectiveWeight * severity) * (1 - record.failureRate);
    if (outcome == CallOutcome::Unreachable && now >= record.avoidedUntil) {
        const Millis duration = InitialAvoidance * (1 << std::min(record.connectFailures, 4));
        record.avoidedUntil = now + std::min(duration, MaxAvoidance);
        ++record.connectFailures;
    }
}

void BackendHealth::addPrefillSample(const std::string &backend, double millisPerToken)
{
    const auto updatedAverage = [millisPerToken](double average) {
        return average == 0 ? millisPerToken : average + PrefillSampleWeight * (millisPerToken - average);
    };
    Record &record = this->records[backend];
    record.millisPerToken = updatedAverage(record.millisPerToken);
    this->averageMillisPerToken = updatedAverage(this->averageMillisPerToken);
}

bool BackendHealth::addPaceSample(const std::string &backend, double millisPerToken, TimePoint now, double weight)
{
    if (millisPerToken <= 0) {
        return false;
    }
    const auto update = [millisPerToken](double &average, double sampleWeight) {
        average = average == 0 ? millisPerToken : average + sampleWeight * (millisPerToken - average);
    };
    const bool wasSlow = this->slowness(backend, now) >= SlowThreshold;
    Record &record = this->records[backend];
    update(record.pace, PaceSampleWeight * weight);
    record.paceUpdated = now;
    update(this->averagePace, AveragePaceWeight * weight);
    return wasSlow != (this->slowness(backend, now) >= SlowThreshold);
}

double BackendHealth::slowness(const std::string &backend, TimePoint now) const
{
    const auto it = this->records.find(backend);
    if (it == this->records.end() || it->second.pace == 0 || this->averagePace == 0) {
        return 1;
    }
    const double halfLives = toSeconds(now - it->second.paceUpdated) / toSeconds(SlownessHalfLife);
    const double excess = (it->second.pace / this->averagePace - 1) * std::exp2(-std::max(0.0, halfLives));
    return excess < NormalVariation ? 1 : std::min(1 + excess, MaxSlowness);
}

double BackendHealth::failureRate(const std::string &backend, TimePoint now) const
{
    const auto it = this->records.find(backend);
    if (it == this->records.end()) {
        return 0;
    }
    const double halfLives = toSeconds(now - it->second.updated) / toSeconds(HalfLife);
    return it->second.failureRate * std::exp2(-std::max(0.0, halfLives));
}

bool BackendHealth::isAvoided(const std::string &backend, TimePoint now) const
{
    const auto it = this->records.find(backend);
    if (it == this->records.end()) {
        return false;
    }
    return now < it->second.avoidedUntil || this->failureRate(backend, now) > AvoidanceThreshold;
}

double BackendHealth::prefillMillisPerToken(const std::string &backend) const
{
    const auto it = this->records.find(backend);
    if (it == this->records.end() || it->second.millisPerToken == 0) {
        return this->averageMillisPerToken;
    }
    return it->second.millisPerToken;
}

}
