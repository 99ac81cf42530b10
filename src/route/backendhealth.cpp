#include "cyclamencross/route/backendhealth.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Weight of the newest sample in the average pace; about the last five prompts count.
constexpr double NewestWeight = 0.2;

}

void BackendHealth::add(const std::string &backend, CallOutcome outcome, TimePoint now, double weight)
{
    const double faded = this->failureRate(backend, now);
    Record &record = this->records[backend];
    record.failureRate = faded;
    record.updated = now;
    if (outcome == CallOutcome::Rejected) {
        return;
    }
    const double share = OutcomeWeight * weight;
    if (outcome == CallOutcome::Served) {
        record.failureRate *= 1 - share;
        record.unreachable = 0;
        record.avoidedUntil = TimePoint();
        return;
    }
    // A broken connection tells more than an error answer, which may be the application's own.
    const double severity = outcome == CallOutcome::Failed ? 1 : 2;
    record.failureRate += std::min(1.0, share * severity) * (1 - record.failureRate);
    if (outcome == CallOutcome::Unreachable && now >= record.avoidedUntil) {
        const Millis length = FirstAvoidance * (1 << std::min(record.unreachable, 4));
        record.avoidedUntil = now + std::min(length, LongestAvoidance);
        ++record.unreachable;
    }
}

void BackendHealth::addPrefillPace(const std::string &backend, double millisPerToken)
{
    const auto blend = [millisPerToken](double average) {
        return average == 0 ? millisPerToken : average + NewestWeight * (millisPerToken - average);
    };
    Record &record = this->records[backend];
    record.millisPerToken = blend(record.millisPerToken);
    this->averagePace = blend(this->averagePace);
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
    return now < it->second.avoidedUntil || this->failureRate(backend, now) > AvoidRate;
}

double BackendHealth::prefillPace(const std::string &backend) const
{
    const auto it = this->records.find(backend);
    if (it == this->records.end() || it->second.millisPerToken == 0) {
        return this->averagePace;
    }
    return it->second.millisPerToken;
}

}
