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

/// A stand-in prefill engine: runs one prefill after another, holds the results in limited memory until a decode
/// engine pulls them, and evicts those that nobody pulls in time.
class PrefillEngine
{
public:
    explicit PrefillEngine(const EngineOptions &options);

    /// Adds the routes to @p server and starts the worker threads, which run until the process ends.
    void start(EmuServer &server);
    nlohmann::json load();
    nlohmann::json requests();
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
    void work();
    void evict();
    JobPtr nextJob() const;
    void remove(const JobPtr &job);

    EngineOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<JobPtr> jobs;
    PrefixCache cache;
    SharedLink link;
    Counts totals;
    std::uint64_t nextHandle = 1;
    std::string lastId; ///< The id that a crossed answer carries.
    EmuServer *server = nullptr;
};

}
