// The part of Router that bounds the connections of callers and looks for callers that do not read.

#include "router.h"

#include "cyclamencross/route/slowcallerrule.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// File descriptors reserved for files and for connections to the store, peers and backend servers.
constexpr std::size_t ReservedDescriptors = 500;
// Estimated memory of each caller connection in the process and in the kernel, whose buffer for bytes that a caller
// does not read takes this much (HttpSession). What is queued in the process beyond it is counted as bodies.
constexpr std::size_t SessionBytes = 64U << 10U;
// Share of the memory limit that caller connections may take.
constexpr double SessionMemoryShare = 0.4;
// Share of the largest number of caller connections from which on those are looked for that do not read. It costs a
// system call for each connection and period.
constexpr double CrowdedShare = 0.75;
// The same from which on they are cut, so that the callers of the next period can connect.
constexpr double ReserveFromShare = 0.9;

}

bool Router::cutSlowestCaller()
{
    const TimePoint now = Clock::now();
    std::shared_ptr<HttpSession> slowest;
    TimePoint since = now;
    for (const auto &session : this->sessions) {
        const auto stalledSince = session->stalledSince();
        if (stalledSince && *stalledSince < since && !session->isCallerDisconnected()) {
            slowest = session;
            since = *stalledSince;
        }
    }
    if (!slowest || !SlowCallerRule::mayReplace(std::chrono::duration_cast<Millis>(now - since))) {
        return false;
    }
    slowest->cut("connection-limit");
    return true;
}

std::size_t Router::maxSessions() const
{
    const RouterSettings &settings = this->state.settings;
    const std::size_t byDescriptors = settings.descriptors - std::min(settings.descriptors / 2, ReservedDescriptors);
    const std::size_t byMemory =
        std::size_t(double(settings.memoryMiB << 20U) * SessionMemoryShare / double(SessionBytes));
    return std::min(byDescriptors, byMemory);
}

std::size_t Router::reserveFrom() const
{
    return std::size_t(double(this->maxSessions()) * ReserveFromShare);
}

void Router::checkSessions(TimePoint now)
{
    const bool isCrowded = this->sessions.size() >= std::size_t(double(this->maxSessions()) * CrowdedShare);
    std::size_t unsent = 0;
    for (const auto &session : this->sessions) {
        unsent += session->unsentBytes();
        if (isCrowded) {
            session->checkProgress(now);
        } else {
            session->forgetProgress();
        }
    }
    this->state.metrics.set("cyclamencross_unsent_bytes", double(unsent));
    // A session that is cut stays in the list until its work has ended.
    auto open = std::count_if(this->sessions.begin(), this->sessions.end(),
                              [](const auto &session) { return !session->isCallerDisconnected(); });
    while (std::size_t(open) > this->reserveFrom() && this->cutSlowestCaller()) {
        --open;
    }
}

}
