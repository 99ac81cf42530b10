#pragma once

#include "containmentkeeper.h"
#include "eventloopmonitor.h"
#include "fleetsync.h"
#include "httpsession.h"
#include "peersocket.h"
#include "quotametrics.h"
#include "reachmonitor.h"
#include "routerstate.h"
#include "stagecontroller.h"
#include "streamoriginkeeper.h"
#include "versionkeeper.h"

#include "cyclamencross/gateway/routerprocess.h"

#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

namespace Cyclamen
{

class RequestHandler;

/// One router process: listens on the ports of the settings, runs the background tasks and stops gracefully on SIGTERM
/// or SIGINT.
class Router
{
public:
    /// How long callers may cache an address. Short, since some callers keep it three times as long and a stopping
    /// router still serves them.
    static constexpr Millis AddressTtl{1000};
    /// Maximum number of addresses in one directory response.
    static constexpr std::size_t MaxAddresses = 64;

    Router(boost::asio::io_context &context, const RouterSettings &settings, std::string settingsPath,
           PlatformAdapter platform);

    /// Opens the ports and starts the background tasks.
    /// @return whether all ports are open; otherwise the failure was logged.
    bool start();

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;
    /// A listening port and the handler of the requests that arrive there.
    struct Listener
    {
        std::shared_ptr<Acceptor> acceptor;
        HttpSession::Handler handler;
    };

    /// @param what name of the port in the log.
    bool listen(const std::string &address, const std::string &what, const HttpSession::Handler &handler);
    boost::asio::awaitable<void> accept(Listener listener);
    /// Starts a session on a new connection, or closes the connection if there are too many.
    void startSession(boost::asio::ip::tcp::socket socket, const HttpSession::Handler &handler);
    /// Cuts the caller that has not taken what is sent to it for the longest time, so that a new one can connect.
    /// @return false if no caller is slow enough for that.
    bool cutSlowestCaller();
    /// Returns how many caller connections the settings allow.
    std::size_t maxSessions() const;
    /// Returns from how many caller connections on some are kept free for new callers.
    std::size_t reserveFrom() const;
    /// Updates what is known of callers that do not read.
    void checkSessions(TimePoint now);
    /// Starts sessions on the connections that wait in the queues of the ports, and closes the ports.
    void closePorts();
    boost::asio::awaitable<void> serveSession(std::shared_ptr<HttpSession> session);
    /// Matches a caller's request to a route and handles it, once this router knows all changes that must be in force.
    boost::asio::awaitable<void> handleCaller(HttpSession &session, RouterRequest &request);
    /// Answers readiness checks and requests for caller addresses.
    boost::asio::awaitable<void> handleDirectory(HttpSession &session, RouterRequest &request);
    boost::asio::awaitable<void> handleMetrics(HttpSession &session, RouterRequest &request);
    /// Logs, counts and sends a refusal before any placement.
    /// @param workspace of the caller, for the log; nullptr if it is not known.
    boost::asio::awaitable<void> refuse(HttpSession &session, const RouterRequest &request, int status,
                                        std::string reason, const WorkspaceConfig *workspace = nullptr);
    /// Logs and counts a request that is refused since there is no memory for its body.
    /// @return the headers of the refusal.
    HeaderList refuseBody(RouterRequest &request);
    boost::asio::awaitable<void> runHousekeeping();
    /// Measures how late the event loop is.
    boost::asio::awaitable<void> monitorEventLoop();
    boost::asio::awaitable<void> waitForSignals();
    /// Unregisters the router, accepts, refuses and answers requests as StopSchedule says, and ends the event loop once
    /// the running ones have finished or the schedule ends.
    boost::asio::awaitable<void> stop();
    /// Sleeps until @p time, or until no request runs and no connection is open.
    boost::asio::awaitable<void> waitForRequests(TimePoint time);
    /// Applies those settings that can change at runtime.
    void reload();
    /// Returns the addresses for a directory response: this router's own if it is ready, then those of others,
    /// shuffled. Routers that are cut off from the backend servers of a service are left out, unless most are.
    std::vector<std::string> callerAddresses();
    /// Chooses one of the route's services at random by weight.
    std::string chooseService(const RouteConfig &route);
    CallerLimits limits() const;

    boost::asio::io_context &context;
    std::string settingsPath;
    PlatformAdapter platform;
    RouterState state;
    FleetSync sync;
    PeerSocket peers;
    StageController stages;
    ContainmentKeeper containments;
    VersionKeeper versions;
    StreamOriginKeeper streamOrigins;
    ReachMonitor reachMonitor;
    boost::asio::signal_set signals;
    std::vector<Listener> listeners;
    std::set<std::shared_ptr<HttpSession>> sessions;
    std::set<RequestHandler *> running; ///< Handlers of the requests that are being handled.
    QuotaMetrics quotaMetrics;
    EventLoopMonitor loopMonitor;
    bool refusing = false; ///< The router is stopping and refuses new requests.
};

}
