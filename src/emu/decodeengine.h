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

/// An emulated decode engine. It pulls prefill results into its limited memory and produces one output per stream and
/// step; a step takes longer the more streams are in the batch.
class DecodeEngine
{
public:
    explicit DecodeEngine(const EngineOptions &options);

    /// Adds the routes to @p server and starts the step thread, which runs until the process ends.
    void start(EmuServer &server);
    /// Returns the load for GET /v1/load.
    nlohmann::json load();
    /// Returns the list of requests for GET /v1/requests.
    nlohmann::json requests();
    /// Returns the counters for GET /counts.
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
    /// Pulls the prefill result with @p handle from the engine at @p source.
    /// @return 400 if @p source is no address, 502 if the transfer failed, otherwise the status of the response: 200,
    /// or 410 if the handle is unknown.
    int pull(const StreamPtr &stream, const std::string &source, const std::string &handle);
    /// Sends the outputs from @p firstIndex on. A resume makes the latest connection the only one that gets them.
    void sendEvents(const StreamPtr &stream, int firstIndex, const StreamFaults &faults, httplib::Response &response);
    bool sendNext(const StreamPtr &stream, std::uint64_t connectionNumber, int &next, const StreamFaults &faults,
                  httplib::DataSink &sink);
    /// Marks the stream as having no client connection, unless a newer connection has taken it over.
    void detach(const StreamPtr &stream, std::uint64_t connectionNumber);
    /// Swaps the outputs of this stream with those of the next one with a "crossed" fault.
    /// @param timeout how long to wait for the other stream.
    void crossStreams(const StreamPtr &stream, Millis timeout);
    StreamFaults takeFaults(const httplib::Request &request);
    void runSteps();
    /// Frees the streams that have had no connection for longer than the resume time.
    void expireDetached();
    StreamPtr find(const std::string &id) const;

    EngineOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<StreamPtr> streams;
    StreamPtr unpairedCrossStream; ///< Waits for a second stream with a "crossed" fault.
    Counts totals;
    EmuServer *server = nullptr;
};

}
