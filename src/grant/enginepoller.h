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

/// Reads the load, the request list and the cache events of engines on its own threads, and cancels orphans.
class EnginePoller
{
public:
    /// Enough to read 12 engines four times a second while three of them hang.
    static constexpr int Threads = 4;
    static constexpr Millis ReplyTimeout{500};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        std::function<void(const EngineReport &report)> report;
        std::function<void(const std::string &engine)> unreachable; ///< No connection could be opened.
    };

    EnginePoller(const Settings &settings, Hooks hooks, OrphanTracker &orphans, PrefixHints &hints, Metrics &metrics);
    /// Waits for the reads in progress.
    ~EnginePoller();
    EnginePoller(const EnginePoller &) = delete;
    EnginePoller &operator=(const EnginePoller &) = delete;

    void start();
    /// Sets the engines to read; a new one is read at once.
    void watch(const std::vector<Backend> &engines);

private:
    struct Job
    {
        Backend engine;
        TimePoint due;
        TimePoint listDue;
        TimePoint lastGood;
        int failures = 0;
        bool busy = false;
    };
    using JobPtr = std::shared_ptr<Job>;

    void run();
    JobPtr nextJob(TimePoint now);
    TimePoint nextDue(TimePoint now) const;
    bool poll(Job &job);
    std::optional<EngineLoad> readLoad(const EngineClient &client, const std::string &engine);
    void sweep(const EngineClient &client, const std::string &engine, const std::vector<HeldRequest> &list);
    void readCacheEvents(const EngineClient &client, const std::string &engine);
    void finish(Job &job, bool isGood);

    Settings settings;
    Hooks hooks;
    OrphanTracker &orphans;
    PrefixHints &hints;
    Metrics &metrics;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    std::map<std::string, JobPtr> jobs;
    std::vector<std::thread> threads;
};

}
