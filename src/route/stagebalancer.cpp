#include "cyclamencross/route/stagebalancer.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

void StageBalancer::record(const StageLoad &load, TimePoint now)
{
    if (load.decodeUse <= 0 && load.prefillRequests <= 0 && this->average.decodeUse <= 0) {
        return; // Traffic has not started.
    }
    if (!this->firstSample) {
        this->firstSample = now;
        this->lastSample = now;
        this->average = load;
        return;
    }
    const double weight = std::min(1.0, toSeconds(now - this->lastSample) / toSeconds(AveragingTime));
    const StageLoad previous = this->average;
    this->average = load;
    this->average.prefillRequests =
        previous.prefillRequests + weight * (load.prefillRequests - previous.prefillRequests);
    this->average.decodeUse = previous.decodeUse + weight * (load.decodeUse - previous.decodeUse);
    this->lastSample = now;
}

int StageBalancer::enginesToMove() const
{
    if (!this->firstSample || this->lastSample - *this->firstSample < AveragingTime) {
        return 0;
    }
    const auto prefill = int(this->average.prefillEngines);
    const auto decode = int(this->average.decodeEngines);
    const int minPrefill = std::max(1, int(this->average.minPrefillEngines));
    const int wanted = std::max(minPrefill, int(std::ceil(this->average.prefillRequests / TargetPrefillUse)));
    if (wanted < prefill && this->average.decodeUse >= MinDecodeUse) {
        return std::min(prefill - wanted, std::max(1, int(prefill * MaxShareAtOnce)));
    }
    if (this->average.prefillRequests > MaxPrefillUse * prefill && decode > 1) {
        const int spare = int(decode * (1 - this->average.decodeUse / MaxDecodeUse));
        return -std::clamp(wanted - prefill, 0, std::max(0, spare));
    }
    return 0;
}

void StageBalancer::reset()
{
    this->firstSample = std::nullopt;
    this->average = StageLoad();
}

}
