#pragma once

#include "engineoptions.h"
#include "prefilljob.h"
#include "prefixcache.h"
#include "sharedlink.h"

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

class EmuServer;

/// An emulated prefill engine. It runs one prefill at a time, holds the results in limited memory until a decode engine
/// pulls them, and evicts those that are not pulled in time.
class PrefillEngine
{
public:
    explicit PrefillEngine(const EngineOptions &options);

    /// Adds the routes to @p server and starts the worker threads, which run until the process ends.
    void start(EmuServer &server);
    /// Returns the load for GET /v1/load.
    nlohmann::json load();
    /// Returns the list of requests for GET /v1/requests.
    nlohmann::json requests();
    /// Returns the counters for GET /counts.
    nlohmann::json counts();

private:
    using JobPtr = std::shared_ptr<PrefillJob>;
    struct Counts
    {
        std::uint64_t prefills = 0;
        std::uint64_t used = 0;
        std::uint64_t evicted = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t cancelledAfterRun = 0;
        std::uint64_t rejected = 0;
        std::uint64_t tokens = 0;
        std::uint64_t cachedTokens = 0;
    };

    void prefill(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void sendResult(const std::string &handle, httplib::Response &response);
    void endPull(const JobPtr &job, bool complete);
    void runJobs();
    void evictExpiredResults();
    JobPtr nextJob() const;
    void removeJob(const JobPtr &job);

    EngineOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<JobPtr> jobs;
    PrefixCache cache;
    SharedLink link;
    Counts totals;
    std::uint64_t nextHandleNumber = 1;
    std::string previousId; ///< Id of the previous answer; the "crossed" fault puts it into the next one.
    EmuServer *server = nullptr;
};

}
