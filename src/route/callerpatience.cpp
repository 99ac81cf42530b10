#include "cyclamencross/route/callerpatience.h"

#include <algorithm>

namespace Cyclamen
{

Millis CallerPatience::usedBefore(const std::string &route, Millis allowed, Millis timeout, TimePoint now)
{
    Record &record = this->records[route];
    if (now >= record.periodEnd) {
        const bool previousIsRecent = now - record.periodEnd < Period;
        record.previousLongest = previousIsRecent ? record.longest : Millis(0);
        record.longest = Millis(0);
        record.periodEnd = now + Period;
    }
    const Millis cappedAllowed = std::min(allowed, timeout);
    record.longest = std::max(record.longest, cappedAllowed);
    return std::max(record.longest, record.previousLongest) - cappedAllowed;
}

}
