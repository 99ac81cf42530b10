// Datagrams of peers (decodePeerReport).

#include "check.h"
#include "peerreport.h"

using namespace Cyclamen;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    PeerReport report;
    const bool valid = decodePeerReport(std::string(reinterpret_cast<const char *>(data), size), report);
    if (!valid) {
        return 0;
    }
    PeerReport again;
    check(decodePeerReport(encodePeerReport(report), again), "a report that was decoded can be encoded");
    // What a router calculates with the numbers of a report.
    const TimePoint now = Clock::now();
    BackendWork sum;
    for (const auto *works : {&report.work, &report.groupWork, &report.otherGroupsWork, &report.waiting}) {
        for (const auto &entry : *works) {
            sum += entry.second;
        }
    }
    check(now - report.changesKnownAge >= TimePoint() || report.changesKnownAge > Millis(0), "a time is in range");
    for (const CrashedCall &call : report.crashes) {
        check(now - call.age - call.duration < now + std::chrono::hours(24 * 365 * 3), "a crash is in range");
    }
    return 0;
}
