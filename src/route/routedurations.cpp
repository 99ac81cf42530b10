#include "cyclamencross/route/routedurations.h"

#include "cyclamencross/route/streamsample.h"

#include <algorithm>

namespace Cyclamen
{

void RouteDurations::record(const StreamSample &sample)
{
    if (sample.events <= 0 || !(sample.millisPerEvent >= 0)) {
        return;
    }
    this->record(sample.route, Millis(std::int64_t(double(sample.events) * sample.millisPerEvent)));
}

void RouteDurations::record(const std::string &route, Millis duration)
{
    Record &record = this->routes[route];
    record.durations[record.recorded % Count] = duration;
    ++record.recorded;
}

std::optional<Millis> RouteDurations::longest(const std::string &route) const
{
    const auto record = this->routes.find(route);
    if (record == this->routes.end() || record->second.recorded < MinCount) {
        return std::nullopt;
    }
    const auto begin = record->second.durations.begin();
    return *std::max_element(begin, begin + std::ptrdiff_t(std::min(record->second.recorded, Count)));
}

}
