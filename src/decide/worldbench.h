#pragma once

#include "setupbench.h"

#include "cyclamencross/decide/admission.h"
#include "cyclamencross/decide/backoff.h"
#include "cyclamencross/decide/enginechoice.h"
#include "cyclamencross/decide/engineledger.h"
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

/// A discrete-event model of entries and engines that runs the decision library on virtual time, in milliseconds.
class World
{
public:
    World(const Setup &setup, std::uint64_t seed);
    Totals run(std::uint64_t seed);

private:
    static constexpr double TargetMs = 420;
    static constexpr double EndMs = 65000;
    static constexpr double WarmUpMs = 5000;
    struct Request
    {
        std::string id;
        double arrival = 0;
        double sent = 0; // by its caller, for the last time
        int entry = 0;
        int prefix = -1;
        std::uint64_t tokens = 0;
        double decodeMs = 0;
        int attempts = 0;
        int resends = 0;
        std::size_t decode = 0;
        bool reserved = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    struct Engine
    {
        Engine(const std::string &address, std::uint32_t slots)
            : ledger(address)
            , address(address)
            , slots(slots)
        {
        }

        EngineLedger ledger;
        std::string address;
        std::uint32_t slots;
        std::set<std::string> held;
        double busyUntil = 0;
        std::vector<double> ends; // of prefills under way
        std::vector<int> cached; // prefixes, used last at the end
        EngineLoad visible; // what reports show, one period late
        EngineLoad measured;
        double wake = 0;
    };

    void at(double time, std::function<void()> action)
    {
        this->events.emplace(time, std::move(action));
    }
    void in(double delay, std::function<void()> action)
    {
        this->at(this->now + delay, std::move(action));
    }
    TimePoint clock() const;
    bool isCounted(const Request &request) const
    {
        return request.arrival >= WarmUpMs && request.arrival < EndMs - WarmUpMs;
    }
    bool isDead(std::size_t engine) const;
    double left(const Request &request) const
    {
        return request.sent + TargetMs - this->now;
    }
    static Millis millis(double ms)
    {
        return Millis(static_cast<std::int64_t>(std::max(0.0, ms)));
    }
    EngineLoad trueLoad(Engine &engine) const;
    void reportAll();
    // Sends the decisions of an owner to the entries and plans when it must decide again.
    void settle(std::size_t i);
    void askOwner(const RequestPtr &request, const std::string &address, std::uint64_t tokens, double maxWait,
                  const std::function<void(bool)> &reply);
    void releaseOwner(const Request &request, std::size_t i);
    LoadLookup lookup(int entry, bool isFresh);
    RankedEngine choosePrefill(const Request &request);
    void attempt(const RequestPtr &request);
    void reserve(const RequestPtr &request, double longest, const std::function<void(bool)> &done);
    void unreserve(const Request &request);
    void prefill(const RequestPtr &request);
    void runPrefill(const RequestPtr &request, std::size_t i);
    void afterPrefill(const RequestPtr &request, double evicted);
    void waste(const RequestPtr &request);
    void decode(const RequestPtr &request, double evicted);
    void fail(const RequestPtr &request);
    void again(const RequestPtr &request);

    Setup setup;
    std::mt19937_64 random;
    std::multimap<double, std::function<void()>> events;
    double now = 0;
    std::uint64_t lastId = 0;
    std::uint64_t lastAsk = 0;
    std::vector<Backend> decodes;
    std::vector<Backend> prefills;
    std::vector<Engine> engines;
    std::map<std::string, std::size_t> index;
    std::map<std::string, std::pair<int, std::function<void(bool)>>> waiters;
    std::vector<std::map<std::string, std::pair<EngineLoad, double>>> learned;
    std::map<int, std::string> hints;
    std::vector<RetryBudget> budgets;
    std::vector<std::vector<std::uint32_t>> shares;
    Totals totals;
};

}
