#pragma once

#include "quotaadmission.h"

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/backendcodec.h"
#include "cyclamencross/gateway/connectionstatus.h"
#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/calleraccess.h"
#include "cyclamencross/route/calloutcome.h"
#include "cyclamencross/route/memorylease.h"
#include "cyclamencross/route/routeconfig.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class HttpClientConnection;
class HttpSession;
class CapacityWait;
class RequestPermit;
class RouterState;
class RouteTable;
class WaitOrder;
class WorkReservation;
struct RouterRequest;
struct WorkspaceConfig;

/// Base class of the request handlers: holds the state of one request, sends it to backend servers and responds to the
/// caller. Used from one thread. The objects whose references it takes must outlive it.
class RequestHandler
{
public:
    /// Peers that a request is handed to one after the other before it is refused.
    static constexpr std::size_t MaxPeers = 3;
    /// Timeout for opening a connection. A round trip takes a few milliseconds; a lost SYN is retransmitted only after
    /// a second, by which time another backend server could have responded.
    static constexpr Millis ConnectTimeout{200};
    /// Number of unreachable backend servers after which a plain request is refused.
    static constexpr int MaxUnreachable = 4;

    /// @param access result of the check of the caller's API key, which is repeated before each send.
    RequestHandler(RouterState &state, const BackendCodec &codec, HttpSession &session, RouterRequest &request,
                   std::shared_ptr<const RouteTable> table, const RouteConfig &route, CallerAccess access,
                   std::string service);
    virtual ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Handles the request until it is answered, refused or abandoned by the caller, and logs the outcome.
    boost::asio::awaitable<void> handle();
    /// Ends the call to the backend server, so that the request ends soon: with a failure, or with the connection of a
    /// caller that has received part of a response.
    void cancel();
    /// Returns whether the caller has received part of a response.
    bool isResponseStarted() const;

protected:
    /// Sends the request to backend servers and responds to the caller; sets `outcome`.
    virtual boost::asio::awaitable<void> serve() = 0;

    /// Takes an idle connection to @p server from the pool or opens a new one, and waits until this router knows all
    /// changes that must be in force.
    /// @param fresh whether to open a new connection in any case, since the server may close an idle one at any moment.
    /// @return whether `connection` is open; if the server accepts none, it is recorded as unreachable and excluded.
    boost::asio::awaitable<bool> openConnection(const BackendServer &server, bool fresh);
    /// Returns the current connection to the pool.
    void releaseConnection(const BackendServer &server);
    /// Starts sending the request over the current connection and counts it against the retry budget.
    /// @param permit for @p server.
    void send(const BackendServer &server, BackendCall call, RequestPermit &permit);
    /// Reads the head of the response of @p server to this request into `response`. Late responses to other requests
    /// are skipped, at most MaxStrayResponses of them.
    boost::asio::awaitable<ConnectionStatus> readMatchingHead(BackendServer server, TimePoint until);
    /// Reads the complete response of @p server to this request. Its head is in `response`, its body in `connection`.
    boost::asio::awaitable<ConnectionStatus> readMatchingResponse(BackendServer server, TimePoint until);
    /// Reads the rest of the current response's body within the memory that the router may use for bodies.
    /// @return ConnectionStatus::NoMemory if that is used up.
    boost::asio::awaitable<ConnectionStatus> readBody(TimePoint until);
    /// Returns whether the response, whose read ended with @p status, is complete, signed and not encoded.
    bool isValidResponse(ConnectionStatus status) const;
    /// Returns whether a status tells the caller that the request was not executed. Such a status is forwarded only if
    /// the backend server stated explicitly that it did not execute the request.
    static bool impliesNotExecuted(int status);
    /// Returns whether the retry budget allows another call to the service; the first call is always allowed. A granted
    /// retry stays reserved until the next send().
    bool reserveRetry();
    /// Records the outcome of a call, unless the caller has disconnected and thereby ended the call.
    void recordOutcome(const BackendServer &server, CallOutcome outcome);
    /// Ends a call whose connection broke, that timed out or whose response the router cannot hold: sets `failure`,
    /// closes the connection and, if it broke, starts a crash probe.
    void failCall(const BackendServer &server, ConnectionStatus status);
    /// Has the paths to the backend servers of the service checked in the background.
    void checkReach() const;
    /// Checks in the background whether @p server still accepts connections. If not, records that this request may have
    /// crashed it.
    void startCrashProbe(const BackendServer &server);
    /// Records that the current call has produced output. The longer it does, the fewer crashes can be due to the
    /// request.
    void recordOutput(TimePoint now);
    /// Records that the request was served, so that it does not crash servers.
    void recordServed(TimePoint now);

    /// Ends the request without a backend server's response: refuses it with 503, or fails it with 502 or 504 if it may
    /// have been executed. Closes the connection of a caller that has received part of a response.
    boost::asio::awaitable<void> finishWithFailure(std::string reason);
    /// Returns whether the request should be handed to a peer: this router may be cut off from the backend servers of
    /// the service, and a peer may not be.
    bool shouldHandOn();
    /// Hands the request to a peer that serves it in place of this router, with the caller's id and what is left of its
    /// time. A request that may run once is handed to one peer only.
    /// @return whether the caller has been answered.
    boost::asio::awaitable<bool> serveByPeer();
    /// Sends the caller the response of a peer, whose head was read from the current connection.
    /// @return whether the caller has been answered; if not, the response broke off.
    virtual boost::asio::awaitable<bool> forwardPeerResponse();
    /// Returns the id of the last event that the caller has received; std::nullopt if there is none.
    virtual std::optional<std::int64_t> resumePoint() const;
    /// Sends the caller the complete response on the current connection. Returns the connection to the pool before, so
    /// that a caller that reads slowly does not hold it.
    boost::asio::awaitable<void> forwardResponse(BackendServer server);

    /// Returns whether the caller has disconnected, the deadline has passed, the request was cancelled, or it must not
    /// be sent because of crashes or because its API key is not valid any more. Updates `workspace`.
    bool shouldStop();
    /// Returns why no backend server with capacity was found, and sets `overloaded`.
    std::string noCapacityReason();
    /// Returns the longest time that the latest requests of the route took, or the route's timeout if too few of them
    /// are known.
    Millis longestDuration() const;
    /// Returns whether the route allows another attempt.
    bool hasAttemptsLeft() const;
    /// Returns the place of the request in the order of urgency of its service; nullptr if the service has none.
    /// @param wait during which the request looks for room.
    /// @param tokens expected work.
    std::unique_ptr<WaitOrder> makeWaitOrder(const CapacityWait &wait, std::int64_t tokens);
    /// Counts the work of a request that has found room towards the share of its workspace, and the room for the
    /// estimates of others.
    /// @param order of the request; nullptr if its service has none.
    void recordRoom(WaitOrder *order, std::int64_t tokens);
    /// Records why the request found no room, for its refusal and the metrics.
    /// @param order of the request; nullptr if its service has none.
    void recordNoRoom(const WaitOrder *order);
    /// Returns the priority of the workspace or, if it has none, that of the route; 0 is the most urgent.
    int priority() const;
    Millis timeLeft() const;
    /// Returns how long the caller still waits, which may be longer than the route allows this request to take.
    Millis callerTimeLeft() const;
    /// Returns the stage of the backend servers that answer this request.
    EngineStage servingStage() const;
    /// Returns when the first pause ends if no backend server can take this request because they leave or pause; see
    /// RouterState::silentUntil().
    /// @param left ids of the backend servers that are left out in any case.
    std::optional<TimePoint> silentUntil(const std::set<std::string> &left) const;
    /// Sets `failure` to the reason why no backend server can take the request because of what they have said.
    void setSilenceFailure();
    /// Returns the delay after which the caller should return if the request is refused now.
    Millis retryAfterDelay();

    RouterState &state;
    const BackendCodec &codec;
    HttpSession &session;
    RouterRequest &request;
    std::shared_ptr<const RouteTable> table; ///< Owns `route`.
    const RouteConfig &route;
    CallerAccess access; ///< Owns `workspace`.
    const WorkspaceConfig *workspace; ///< By the newest configuration; nullptr if the request belongs to none.
    std::string service;
    TimePoint deadline;
    std::shared_ptr<HttpClientConnection> connection;
    bool connectionReused = false; ///< `connection` was idle before, so the server may have closed it.
    std::set<std::string> excluded; ///< Ids of the backend servers that must not be chosen again.
    int attempts = 0; ///< Calls that count towards the route's maximum of attempts.
    int budgetedCalls = 0; ///< Calls, including the first one, that count against the retry budget.
    int unreachableCount = 0; ///< Backend servers that could not be reached.
    bool mayHaveExecuted = false; ///< A backend server may have executed the request.
    bool returnsInVain = false; ///< The caller need not return: no backend server can ever take the request.
    bool overloaded = false; ///< No backend server had capacity for as long as the request may wait.
    /// Expected wait behind more urgent requests, if the request was refused for it.
    std::optional<Millis> waitBehindUrgent;
    bool retryReserved = false; ///< A retry was taken from the budget and not sent yet.
    BackendResponseHead response; ///< Head of the current response.
    MemoryLease responseMemory; ///< Memory that the body of the current response takes.
    TimePoint callStart; ///< When the request was last sent to a backend server.
    std::optional<TimePoint> outputStart; ///< When the current call produced its first output.
    Millis nextOutputTime{0}; ///< Output time at which the current call is to be recorded as served again.
    std::string failure; ///< Reason why the last call failed.
    std::string outcome; ///< For the log and the metrics.
    /// From the receipt of the request to the first chunk sent to the caller; for the log.
    std::optional<Millis> timeToFirstChunk;
    std::int64_t eventCount = 0; ///< Events forwarded to the caller; for the log.
    Millis longestChunkGap{0}; ///< Between two chunks sent to the caller; for the log.

private:
    /// Returns the crash suspects of the request: the shared parts of its prompt, and its target and body, by which its
    /// repeats are recognized.
    std::vector<std::string> findSuspects() const;
    /// Records that the caller was cut because it does not read.
    void recordCutCaller();
    void logEnd();
    /// Checks the API key against the newest configuration and updates `workspace`.
    CallerAccess::Verdict checkAccess();
    /// Runs the request, which is within the quota of its workspace.
    boost::asio::awaitable<void> run();
    /// Returns whether no backend server has run the request for this router, or can have.
    bool hasNotRun() const;
    /// Sends the request to a peer to which `connection` is open, and the response to the caller.
    /// @return as serveByPeer().
    boost::asio::awaitable<bool> callPeer(std::string peer);
    /// Starts sending the request over the current connection.
    /// @param headers without the one that tells the length of the body.
    void startRequest(std::string headers);

    /// Returns the part of the retry budget that the request may use up.
    double retryShare() const;

    QuotaAdmission quota;
    Millis certaintyAge; ///< Of the configuration and the lists when the request came; for the log.
    bool cancelled = false;
    /// Random numbers for the order of urgency, see Urgency::withTurn() and Urgency::withSize(). Drawn once, so that
    /// each wait of the request has the same place.
    std::optional<std::pair<double, double>> urgencyDraws;
    std::unique_ptr<WorkReservation> shareReservation; ///< Of the request's work in the share of its workspace.
    std::vector<std::string> suspects; ///< From the most general to the most specific.
    bool isCrashTrial = false; ///< The request is sent in spite of crashes, to see whether they go on.
};

}
