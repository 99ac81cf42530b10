#include "cyclamencross/route/roomestimator.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Longest wait that is estimated; longer than any timeout of a route that waits for room.
constexpr Millis MaxWait{600000};

}

void RoomEstimator::recordSize(const std::string &service, std::int64_t tokens)
{
    Record &record = this->records[service];
    record.sizes = std::min(record.sizes + 1, MeanLength);
    record.meanSize += (double(tokens) - record.meanSize) / record.sizes;
}

double RoomEstimator::meanTokens(const std::string &service) const
{
    const auto record = this->records.find(service);
    return record == this->records.end() || record->second.sizes < MinSizes ? 0 : record->second.meanSize;
}

void RoomEstimator::recordArrival(const std::string &service, int waitClass, TimePoint now)
{
    Record &record = this->records[service];
    record.arrivals.emplace_back(now, waitClass);
    while (now - record.arrivals.front().first > Window) {
        record.arrivals.pop_front();
    }
}

void RoomEstimator::recordPlacement(const std::string &service, TimePoint now)
{
    Record &record = this->records[service];
    record.placements.push_back(now);
    while (now - record.placements.front() > Window) {
        record.placements.pop_front();
    }
}

Millis RoomEstimator::expectedWait(const std::string &service, int waitClass, std::int64_t ahead, std::size_t routers,
                                   TimePoint now) const
{
    const auto record = this->records.find(service);
    if (record == this->records.end() || ahead <= 0) {
        return Millis(0);
    }
    const auto urgent =
        std::count_if(record->second.arrivals.begin(), record->second.arrivals.end(),
                      [&](const auto &arrival) { return now - arrival.first <= Window && arrival.second < waitClass; });
    if (urgent < MinArrivals) {
        return Millis(0);
    }
    const auto placed = std::count_if(record->second.placements.begin(), record->second.placements.end(),
                                      [now](TimePoint time) { return now - time <= Window; });
    const double rest = std::max(double(placed - urgent), double(placed) * MinRestShare) * double(routers);
    const double windows = double(ahead) / std::max(rest, 0.001);
    return Millis(std::int64_t(std::min(windows * double(Window.count()), double(MaxWait.count()))));
}

}
