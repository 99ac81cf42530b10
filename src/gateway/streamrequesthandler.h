#pragma once

#include "eventsplitter.h"
#include "requesthandler.h"
#include "requestpermit.h"
#include "streamprogress.h"
#include "workreservation.h"

#include "cyclamencross/gateway/prefillresult.h"
#include "cyclamencross/route/capacitywait.h"
#include "cyclamencross/route/outputestimate.h"
#include "cyclamencross/route/placementcandidate.h"

#include <memory>
#include <optional>

namespace Cyclamen
{

/// Handles a request whose response is a stream of events. A prefill engine processes the prompt if it can do so in
/// time; a decode engine then fetches the KV cache from it, or processes the prompt itself, and generates the events.
class StreamRequestHandler : public RequestHandler
{
public:
    using RequestHandler::RequestHandler;

protected:
    boost::asio::awaitable<void> serve() override;
    boost::asio::awaitable<bool> forwardPeerResponse() override;
    std::optional<std::int64_t> resumePoint() const override;

private:
    /// Number of unreachable engines after which a stream fails. Half of a group's engines may be lost at once, and a
    /// request that was not sent costs only the time to connect. If connecting takes long, the wait for capacity ends
    /// first.
    static constexpr int MaxUnreachableEngines = 12;

    /// Shortest silence after which an engine is probed.
    static constexpr Millis MinStallTimeout{700};

    enum class AttemptResult : std::uint8_t {
        Done, ///< The caller has received the complete stream or an error response.
        NotExecuted, ///< The engine stated that it did not execute the request.
        MayHaveExecuted, ///< The call failed after it was sent.
        Unreachable, ///< Nothing was sent.
    };

    /// Finds the software version at which the stream began that the caller takes up, and sets `streamVersion`.
    /// @return whether it is known.
    boost::asio::awaitable<bool> findOrigin();
    /// Records that the stream has begun at the current engine, or goes on there.
    void recordOrigin();
    /// Returns whether an engine may generate events of this stream: where the stream can be taken up, only one version
    /// may.
    bool mayUse(const BackendServer &server) const;
    /// Returns whether no engine of the version that began the stream takes requests any more.
    bool isVersionGone() const;
    /// Chooses a decode engine with capacity for the request and reserves the capacity, waiting for it up to the limit
    /// that capacityWait() sets.
    /// @return whether an engine was found and `decodeEngine` is set.
    boost::asio::awaitable<bool> reserveDecodeEngine();
    /// Returns how long this request waits for capacity, counted from its receipt or, for a stream that has begun, from
    /// now.
    CapacityWait capacityWait() const;
    /// Chooses the decode engine and adds the request to the work that this router has placed there.
    /// @return whether any engine has capacity as far as this router knows.
    bool chooseDecodeEngine();
    /// Asks the chosen engine to reserve a slot and memory for the request.
    /// @return whether the engine granted it or the service does not support reservations. Otherwise `decodeEngine` is
    /// unset.
    boost::asio::awaitable<bool> acquireReservation();
    /// @param order place of the request in the order of its service; nullptr if it did not wait in one.
    void logDecodePlacement(const WaitOrder *order) const;
    /// Returns whether this router is stopping and may exit before the stream ends. While other routers can serve the
    /// request, it must fit even if it is as long as the longest of the latest streams of its route.
    bool isCutByStop() const;
    /// Returns the decode engine to which the request would be sent now; std::nullopt if none has capacity as far as
    /// this router knows.
    std::optional<PlacementCandidate> findDecodeEngine(std::size_t &candidateCount) const;
    /// Returns samples of the engines of other groups that may take the request, in the order in which they should be
    /// considered.
    /// @param ownUsable whether this router's group has engines that could take requests, but have no room now.
    std::vector<std::vector<PlacementCandidate>> otherGroupsCandidates(bool ownUsable) const;
    /// Makes an engine the one to which the request is sent next, and adds the request to its work.
    void useDecodeEngine(const PlacementCandidate &chosen);
    /// Reserves room for the rest of the stream at another engine and a retry of the budget; sets `moveTarget`.
    /// @return false if there is no room, the engine is not silent any more or the call has ended meanwhile.
    boost::asio::awaitable<bool> prepareMove(std::shared_ptr<StreamProgress> callProgress);
    /// Watches the stream of the current call while the engine is silent for longer than @p stallTimeout. An engine
    /// that accepts no connection may be gone, or its queue of new connections is full: its stream is moved, but only
    /// if another engine has room for it.
    boost::asio::awaitable<void> watchForStall(std::shared_ptr<HttpClientConnection> watched,
                                               std::shared_ptr<StreamProgress> callProgress, Millis stallTimeout);
    /// Releases a capacity reservation that was not used.
    void releaseReservation();
    /// Makes a call in the background and ignores its result. Makes none if @p server has told this router to pause:
    /// what the call would free ends by itself soon.
    void callAndForget(const BackendServer &server, const std::string &call);
    /// Has a prefill engine process the prompt if that is expected to be worthwhile. Sets `kvCache` on success; after a
    /// failure the decode engine processes the prompt.
    boost::asio::awaitable<void> prefill();
    /// Sends the request to the chosen decode engine and forwards its response.
    boost::asio::awaitable<AttemptResult> decode();
    boost::asio::awaitable<AttemptResult> readResponse(BackendServer server);
    /// Forwards events to the caller until the stream ends.
    boost::asio::awaitable<AttemptResult> relayEvents();
    /// Forwards the events of the response on the current connection until it ends, an event is out of order (see
    /// `inOrder`) or the caller is gone.
    /// @return ConnectionStatus::NoMemory if an incomplete event exceeds the memory that the router may use for bodies.
    boost::asio::awaitable<ConnectionStatus> forwardBody();
    /// Forwards the events that @p bytes complete.
    /// @return false if an event id does not increase or an event is too long.
    boost::asio::awaitable<bool> forwardEvents(const std::string &bytes);
    /// Queues events for the caller. Waits, and cuts a caller that does not read, as SlowCallerRule says.
    boost::asio::awaitable<void> passOn(const std::string &events);
    /// Records that the engine has sent its whole response, so that a caller that reads slowly holds no capacity.
    void endWork();
    /// Updates the times for the log and the stall check when events are forwarded.
    void recordChunk();
    /// Frees the KV cache at the prefill engine if no decode engine was told to fetch it.
    void releaseKvCache();
    /// Returns the work that the request still causes at a decode engine, as expected now.
    BackendWork requestWork() const;
    /// Returns the tokens to reserve at a decode engine before the request is sent there.
    std::int64_t reservedTokens(const PlacementCandidate &engine) const;
    /// Adjusts the work recorded for the request to its progress, at most once every WorkUpdatePeriod.
    void updateWork(TimePoint now);
    /// Records the length and pace of the completed stream.
    void recordStream(TimePoint now);

    std::optional<std::string> streamVersion; ///< Software version at which the stream began.
    bool originRecorded = false; ///< recordOrigin() has recorded the stream.
    std::optional<BackendServer> decodeEngine; ///< Engine that generates the events.
    OutputEstimate estimate; ///< Expected output.
    TimePoint firstChunkTime; ///< When the first events were forwarded.
    TimePoint lastWorkUpdate;
    TimePoint attemptStart; ///< When the request was sent to `decodeEngine`.
    std::int64_t eventsAtUpdate = 0; ///< Value of `eventCount` at `lastWorkUpdate`.
    PlacementCandidate decodeCandidate; ///< State of `decodeEngine` when it was chosen; for the log.
    std::size_t candidateCount = 0; ///< Number of engines it was chosen from; for the log.
    std::unique_ptr<WorkReservation> workReservation; ///< Of the request's work at `decodeEngine`.
    std::unique_ptr<RequestPermit> permit; ///< For `decodeEngine`.
    std::optional<PlacementCandidate> moveTarget; ///< Engine with room for a stream that leaves a silent one.
    std::string moveToken; ///< Of the reservation at `moveTarget`.
    std::string reservationToken; ///< Of an unused capacity reservation at `decodeEngine`; empty if there is none.
    std::optional<BackendServer> prefillEngine; ///< Engine that processed the prompt.
    std::optional<PrefillResult> kvCache; ///< At `prefillEngine`, not passed to a decode engine yet.
    std::shared_ptr<StreamProgress> progress; ///< Of the current call to the decode engine.
    EventSplitter splitter;
    bool inOrder = true; ///< The ids of the current response's events increase, and none is too long.
    TimePoint lastChunkTime; ///< When events were last forwarded.
    std::optional<std::int64_t> lastEventId; ///< Of the last event that the caller has received.
    Millis timeSpentBefore{0}; ///< Estimate of the caller's time spent on earlier attempts.
};

}
