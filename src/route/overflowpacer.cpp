#include "cyclamencross/route/overflowpacer.h"

#include <algorithm>

namespace Cyclamen
{

bool OverflowPacer::mayAsk(const std::string &pool, TimePoint now) const
{
    const auto refusal = this->refusals.find(pool);
    return refusal == this->refusals.end() || now >= refusal->second.until;
}

void OverflowPacer::record(const std::string &pool, bool granted, TimePoint now)
{
    if (granted) {
        this->refusals.erase(pool);
        return;
    }
    Record &refusal = this->refusals[pool];
    if (now < refusal.until) {
        return; // Asked before the refusal that began this pause was known.
    }
    refusal.pause = std::clamp(refusal.pause * 2, FirstPause, MaxPause);
    refusal.until = now + refusal.pause;
}

}
