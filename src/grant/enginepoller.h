#pragma once

#include "enginereport.h"
#include "orphantracker.h"
#include "prefixhints.h"

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/settings.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Cyclamen
{

class EngineClient;
class Metrics;

/// Polls the load, the request list and the cache events of engines on its own threads, and cancels orphaned requests.
class EnginePoller
{
public:
    /// Number of threads. Enough to read 12 engines four times a second while three of them hang.
    static constexpr int ThreadCount = 4;
    static constexpr Millis ReplyTimeout{500};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        /// Called with the result of each successful poll.
        std::function<void(const EngineReport &report)> report;
        /// Called when no connection to the engine could be opened.
        std::function<void(const std::string &engine)> unreachable;
    };

    EnginePoller(const Settings &settings, Hooks hooks, OrphanTracker &orphans, PrefixHints &hints, Metrics &metrics);
    /// Waits for the reads in progress.
    ~EnginePoller();
    EnginePoller(const EnginePoller &) = delete;
    EnginePoller &operator=(const EnginePoller &) = delete;

    void start();
    /// Sets the engines to poll; a new one is polled at once.
    void setEngines(const std::vector<Backend> &engines);

private:
    struct PollTask
    {
        Backend engine;
        TimePoint nextPoll;
        TimePoint nextListRead;
        TimePoint lastSuccess;
        int failures = 0;
        bool busy = false;
    };
    using TaskPtr = std::shared_ptr<PollTask>;

    void run();
    TaskPtr nextTask(TimePoint now);
    TimePoint nextPollTime(TimePoint now) const;
    bool poll(PollTask &task);
    std::optional<EngineLoad> readLoad(const EngineClient &client, const std::string &engine);
    void cancelOrphans(const EngineClient &client, const std::string &engine, const std::vector<HeldRequest> &list);
    void readCacheEvents(const EngineClient &client, const std::string &engine);
    void reschedule(PollTask &task, bool succeeded);

    Settings settings;
    Hooks hooks;
    OrphanTracker &orphans;
    PrefixHints &hints;
    Metrics &metrics;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    std::map<std::string, TaskPtr> tasks;
    std::vector<std::thread> threads;
};

}
