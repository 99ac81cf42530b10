#pragma once

#include "fleetsync.h"
#include "httpsession.h"
#include "peerport.h"
#include "routerstate.h"

#include "cyclamencross/gateway/routerprocess.h"

#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

namespace Cyclamen
{

/// One router process: its ports, its background work and its stop.
class Router
{
public:
    /// How long callers may keep an address. Short, since some keep it three times as long and a stop waits for them.
    static constexpr int AnswerTtlSeconds = 1;
    /// Most addresses in one answer to callers.
    static constexpr std::size_t MaxAddresses = 64;
    /// Before the end of the grace time, new requests are refused for this long, so that those begun can end.
    static constexpr Millis RefuseBeforeEnd{3500};
    /// The process ends this long before it would be killed.
    static constexpr Millis EndMargin{400};

    Router(boost::asio::io_context &context, const RouterSettings &settings, std::string settingsPath,
           RouterHooks hooks);

    /// Opens the ports and starts the background work.
    /// @return whether all ports are open.
    bool start();

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    bool listen(const std::string &address, const std::string &what, const HttpSession::Handler &handler);
    boost::asio::awaitable<void> accept(std::shared_ptr<Acceptor> acceptor, HttpSession::Handler handler);
    boost::asio::awaitable<void> serveSession(std::shared_ptr<HttpSession> session);
    boost::asio::awaitable<void> handleCaller(HttpSession &session, RouterRequest &request);
    boost::asio::awaitable<void> handleEntry(HttpSession &session, RouterRequest &request);
    boost::asio::awaitable<void> handleMetrics(HttpSession &session, RouterRequest &request);
    boost::asio::awaitable<void> refuse(HttpSession &session, const RouterRequest &request, int status,
                                        std::string reason);
    boost::asio::awaitable<void> housekeep();
    boost::asio::awaitable<void> waitForSignals();
    boost::asio::awaitable<void> stop();
    void reload();
    std::vector<std::string> callerAddresses();
    std::string chooseService(const RouteRule &route);
    CallerLimits limits() const;

    boost::asio::io_context &context;
    std::string settingsPath;
    RouterHooks hooks;
    RouterState state;
    FleetSync sync;
    PeerPort peers;
    boost::asio::signal_set signals;
    std::vector<std::shared_ptr<Acceptor>> acceptors;
    std::set<std::shared_ptr<HttpSession>> sessions;
    bool refusing = false; ///< The stop has come so far that new requests are refused.
};

}
