#include "cyclamencross/route/peerclocks.h"

#include <algorithm>

namespace Cyclamen
{

void PeerClocks::record(const std::string &router, std::uint64_t incarnation, Clock::duration sentAt,
                        Clock::duration receivedAt)
{
    // Routers that are gone leave the list when others report.
    std::erase_if(this->measurements,
                  [receivedAt](const auto &item) { return receivedAt - item.second.windowStart > 2 * Window; });
    const Millis difference = std::chrono::ceil<Millis>(receivedAt - sentAt);
    const auto it = this->measurements.find(router);
    if (it == this->measurements.end() || it->second.incarnation != incarnation) {
        this->measurements[router] = Measurement{incarnation, receivedAt, difference, std::nullopt};
        return;
    }
    Measurement &known = it->second;
    if (receivedAt - known.windowStart > Window) {
        known.previous = known.current;
        known.current = difference;
        known.windowStart = receivedAt;
    }
    known.current = std::min(known.current, difference);
}

std::optional<Millis> PeerClocks::offset(const std::string &router, std::uint64_t incarnation,
                                         Clock::duration now) const
{
    const auto it = this->measurements.find(router);
    if (it == this->measurements.end() || it->second.incarnation != incarnation
        || now - it->second.windowStart > 2 * Window) {
        return std::nullopt;
    }
    const Measurement &known = it->second;
    return std::min(known.current, known.previous.value_or(known.current));
}

}
