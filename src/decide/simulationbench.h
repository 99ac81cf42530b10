#pragma once

#include "scenariobench.h"

#include "cyclamencross/decide/admission.h"
#include "cyclamencross/decide/backoff.h"
#include "cyclamencross/decide/enginechoice.h"
#include "cyclamencross/decide/enginescheduler.h"
#include "cyclamencross/decide/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// Discrete-event simulation of entries and engines that runs the decision library. Times are virtual, in milliseconds.
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed);
    /// Runs the whole scenario.
    /// @param seed seed of the arrivals, so that scenarios can be compared on the same arrivals.
    Totals run(std::uint64_t seed);

private:
    static constexpr double TargetMs = 420; // first-token target
    static constexpr double ArrivalEndMs = 65000;
    static constexpr double WarmUpMs = 5000;
    struct Request
    {
        std::string id;
        double arrival = 0;
        double sent = 0; // when the caller last sent it
        int entry = 0;
        int prefix = -1; // index of the common prefix; -1 for none
        std::uint64_t tokens = 0;
        double decodeMs = 0;
        int attempts = 0;
        int resends = 0;
        std::size_t decode = 0; // index of the decode engine
        bool reserved = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    struct Engine
    {
        Engine(const std::string &address, std::uint32_t slots)
            : scheduler(address)
            , address(address)
            , slots(slots)
        {
        }

        EngineScheduler scheduler;
        std::string address;
        std::uint32_t slots;
        std::set<std::string> held;
        double busyUntil = 0;
        std::vector<double> ends; // end times of the prefills in progress
        std::vector<int> cached; // prefixes, the most recently used last
        EngineLoad reportedLoad; // what reports show, one report period late
        EngineLoad latestLoad;
        double nextWake = 0;
    };

    void scheduleAt(double time, std::function<void()> action)
    {
        this->events.emplace(time, std::move(action));
    }
    void scheduleIn(double delay, std::function<void()> action)
    {
        this->scheduleAt(this->now + delay, std::move(action));
    }
    TimePoint currentTime() const;
    bool isCounted(const Request &request) const
    {
        return request.arrival >= WarmUpMs && request.arrival < ArrivalEndMs - WarmUpMs;
    }
    bool isDead(std::size_t engine) const;
    double timeLeft(const Request &request) const
    {
        return request.sent + TargetMs - this->now;
    }
    static Millis toMillis(double ms)
    {
        return Millis(static_cast<std::int64_t>(std::max(0.0, ms)));
    }
    EngineLoad trueLoad(Engine &engine) const;
    void reportAll();
    // Sends the scheduler's decisions for engine i to the entries and schedules its next run.
    void processDecisions(std::size_t i);
    void requestSlot(const RequestPtr &request, const std::string &address, std::uint64_t tokens, double maxWait,
                     const std::function<void(bool)> &reply);
    void releaseGrant(const Request &request, std::size_t i);
    LoadLookup lookup(int entry, bool isFresh);
    RankedEngine choosePrefill(const Request &request);
    void attempt(const RequestPtr &request);
    void reserve(const RequestPtr &request, double maxWait, const std::function<void(bool)> &done);
    void releaseReservation(const Request &request);
    void prefill(const RequestPtr &request);
    void runPrefill(const RequestPtr &request, std::size_t i);
    void afterPrefill(const RequestPtr &request, double evictedAt);
    void failAfterPrefill(const RequestPtr &request);
    void decode(const RequestPtr &request, double evictedAt);
    void fail(const RequestPtr &request);
    void retry(const RequestPtr &request);

    Scenario scenario;
    std::mt19937_64 random;
    std::multimap<double, std::function<void()>> events;
    double now = 0;
    std::uint64_t lastId = 0;
    std::uint64_t lastSlotRequest = 0;
    std::vector<Backend> decodes;
    std::vector<Backend> prefills;
    std::vector<Engine> engines;
    std::map<std::string, std::size_t> engineIndex;
    std::map<std::string, std::pair<int, std::function<void(bool)>>> replyHandlers;
    std::vector<std::map<std::string, std::pair<EngineLoad, double>>> cachedLoads;
    std::map<int, std::string> hints;
    std::vector<RetryBudget> budgets;
    std::vector<std::vector<std::uint32_t>> slotShares;
    Totals totals;
};

}
