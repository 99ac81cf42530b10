#pragma once

#include "eventcutter.h"
#include "requestrun.h"
#include "streamprogress.h"
#include "workreservation.h"

#include "cyclamencross/gateway/readprompt.h"
#include "cyclamencross/route/placementcandidate.h"
#include "cyclamencross/route/roomwait.h"

#include <memory>
#include <optional>

namespace Cyclamen
{

/// Handles a request whose answer is a stream of events. The prompt is read at a prefill engine where that is faster,
/// and a decode engine then takes its memory over and generates the events.
class StreamRun : public RequestRun
{
public:
    using RequestRun::RequestRun;

protected:
    boost::asio::awaitable<void> serve() override;

private:
    enum class Step : std::uint8_t {
        Done,
        NotRun, ///< The engine did not run the request.
        MayHaveRun,
        Unreachable,
    };

    /// Reserves room at a decode engine; waits for room as long as that serves the caller.
    /// @return whether `engine` is set.
    boost::asio::awaitable<bool> reserveDecode();
    /// Returns how long this request waits for room, which a stream that has begun counts from now.
    RoomWait roomWait() const;
    /// Chooses the engine that generates the events and counts its memory as taken.
    bool chooseDecode();
    /// Takes room for the request at the chosen engine.
    /// @return whether the engine has room or takes no reservations.
    boost::asio::awaitable<bool> takeHold();
    void logDecode() const;
    /// Gives room that was not used back.
    void dropHold();
    void callAndForget(const std::string &address, const std::string &call);
    boost::asio::awaitable<void> prefill();
    boost::asio::awaitable<Step> decode();
    boost::asio::awaitable<Step> readAnswer(BackendServer server);
    /// Passes on events until the stream ends.
    boost::asio::awaitable<Step> relay();
    boost::asio::awaitable<bool> passOnEvents(const std::string &bytes);
    /// Notes that events are passed on now.
    void notePart();
    /// Frees the memory of the prompt where it was not taken over.
    void releaseMemory();
    BackendWork decodeWork() const;

    std::optional<BackendServer> engine; ///< Generates the events.
    PlacementCandidate chosen; ///< What was known of `engine` when it was chosen.
    std::size_t choices = 0; ///< Engines it was chosen from.
    std::unique_ptr<WorkReservation> reservation;
    std::string hold; ///< Room taken at `engine` and not yet used.
    std::optional<BackendServer> reader; ///< Read the prompt.
    std::optional<ReadPrompt> memory; ///< Not yet taken over.
    std::shared_ptr<StreamProgress> progress; ///< Of the current call.
    EventCutter cutter;
    TimePoint lastPart; ///< When events were passed on last.
    std::optional<std::int64_t> lastEvent;
    Millis usedBefore{0}; ///< Time that the caller had spent before this attempt, by estimate.
};

}
