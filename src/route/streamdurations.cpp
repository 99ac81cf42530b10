#include "cyclamencross/route/streamdurations.h"

#include "cyclamencross/route/streamsample.h"

#include <algorithm>

namespace Cyclamen
{

void StreamDurations::record(const StreamSample &sample)
{
    if (sample.events <= 0 || !(sample.millisPerEvent >= 0)) {
        return;
    }
    Record &route = this->routes[sample.route];
    route.durations[route.recorded % Count] = Millis(std::int64_t(double(sample.events) * sample.millisPerEvent));
    ++route.recorded;
}

std::optional<Millis> StreamDurations::longest(const std::string &route) const
{
    const auto record = this->routes.find(route);
    if (record == this->routes.end() || record->second.recorded < MinCount) {
        return std::nullopt;
    }
    const auto begin = record->second.durations.begin();
    return *std::max_element(begin, begin + std::ptrdiff_t(std::min(record->second.recorded, Count)));
}

}
