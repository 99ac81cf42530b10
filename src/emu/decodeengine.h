#pragma once

#include "decodestream.h"
#include "engineoptions.h"

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

/// A stand-in decode engine: pulls prefill results into its limited memory and produces one output per stream and
/// step; a step takes longer the more streams are in the batch.
class DecodeEngine
{
public:
    explicit DecodeEngine(const EngineOptions &options);

    /// Adds the routes to @p server and starts the step thread, which runs until the process ends.
    void start(EmuServer &server);
    nlohmann::json load();
    nlohmann::json requests();
    nlohmann::json counts();

private:
    using StreamPtr = std::shared_ptr<DecodeStream>;
    struct Counts
    {
        std::uint64_t streams = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t expired = 0;
        std::uint64_t resumed = 0;
        std::uint64_t rejected = 0;
        std::uint64_t pullFailures = 0;
        std::uint64_t tokens = 0;
        std::size_t maxHeld = 0;
    };

    void decode(const httplib::Request &request, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    /// @return the status of the pull: 200, 410 if the handle is gone, 502 if the transfer broke.
    int pull(const StreamPtr &stream, const std::string &source, const std::string &handle);
    void sendEvents(const StreamPtr &stream, int from, const StreamFaults &faults, httplib::Response &response);
    bool sendNext(const StreamPtr &stream, std::uint64_t attachment, int &next, const StreamFaults &faults,
                  httplib::DataSink &sink);
    void detach(const StreamPtr &stream, std::uint64_t attachment);
    void cross(const StreamPtr &stream, Millis patience);
    StreamFaults takeFaults(const httplib::Request &request);
    void step();
    void freeDetached();
    StreamPtr find(const std::string &id) const;

    EngineOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<StreamPtr> streams;
    StreamPtr crossPartner;
    Counts totals;
    EmuServer *server = nullptr;
};

}
