#include "router.h"

#include "asioutil.h"
#include "plainrequesthandler.h"
#include "streamrequesthandler.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis HousekeepingPeriod{100};
constexpr Millis StopPollPeriod{50};
// Share of the routers that must reach the backend servers for the others to be left out of the directory.
constexpr double MinServingShare = 1.0 / 3;
// Longest time for which a request waits for this router to know all changes: a read of the store on a connection that
// has gone silent, and one on a new connection.
constexpr Millis MaxHold{2 * StoreFreshness::ReadTimeout};
// Shortest time between two log lines about a late event loop.
constexpr Millis LateLogPeriod{1000};

std::uint64_t newIncarnation()
{
    // Increases with the start time in seconds; the random low bits distinguish starts within the same second.
    return (std::uint64_t(unixSeconds()) << 24U) | (randomNumber() & 0xFFFFFFU);
}

}

Router::Router(boost::asio::io_context &context, const RouterSettings &settings, std::string settingsPath,
               PlatformAdapter platform)
    : context(context)
    , settingsPath(std::move(settingsPath))
    , platform(std::move(platform))
    , state(context.get_executor(), settings, newIncarnation())
    , sync(this->state, this->platform.makeStore(context.get_executor(), settings), this->platform.fleetCodec)
    , peers(this->state)
    , stages(this->state, this->sync, this->platform.backendCodec)
    , containments(this->state, this->sync)
    , versions(this->state, this->sync)
    , streamOrigins(this->state, this->sync)
    , reachMonitor(this->state)
    , signals(context, SIGTERM, SIGINT, SIGHUP)
    , loopMonitor(Clock::now())
{
}

bool Router::start()
{
    const RouterSettings &settings = this->state.settings;
    const auto caller = [this](HttpSession &session, RouterRequest &request) {
        return this->handleCaller(session, request);
    };
    const auto peer = [this](HttpSession &session, RouterRequest &request) {
        request.fromPeer = true;
        return this->handleCaller(session, request);
    };
    const auto directory = [this](HttpSession &session, RouterRequest &request) {
        return this->handleDirectory(session, request);
    };
    const auto metrics = [this](HttpSession &session, RouterRequest &request) {
        return this->handleMetrics(session, request);
    };
    const bool open = this->listen(settings.callerAddress, "callers", caller)
        && this->listen(settings.peerAddress, "peers", peer)
        && this->listen(settings.readyAddress, "readiness", directory)
        && (settings.directoryAddress.empty() || this->listen(settings.directoryAddress, "directory", directory))
        && (settings.metricsAddress.empty() || this->listen(settings.metricsAddress, "metrics", metrics))
        && this->peers.open();
    if (!open) {
        return false;
    }
    const auto spawn = [this](boost::asio::awaitable<void> work) {
        boost::asio::co_spawn(this->context, std::move(work), boost::asio::detached);
    };
    spawn(this->sync.follow(""));
    spawn(this->sync.catchUp(""));
    spawn(this->sync.keepFresh(""));
    spawn(this->sync.keepRegistered());
    spawn(this->stages.run());
    spawn(this->containments.run());
    spawn(this->versions.run());
    spawn(this->streamOrigins.run());
    spawn(this->reachMonitor.run());
    spawn(this->peers.receive());
    spawn(this->peers.send());
    spawn(this->runHousekeeping());
    spawn(this->monitorEventLoop());
    spawn(this->waitForSignals());
    return true;
}

bool Router::listen(const std::string &address, const std::string &what, const HttpSession::Handler &handler)
{
    const auto endpoint = toTcpEndpoint(address);
    auto acceptor = std::make_shared<Acceptor>(this->context);
    boost::system::error_code error = boost::asio::error::invalid_argument;
    if (endpoint) {
        acceptor->open(endpoint->protocol(), error);
        acceptor->set_option(Acceptor::reuse_address(true), error);
        acceptor->bind(*endpoint, error);
        if (!error) {
            acceptor->listen(Acceptor::max_listen_connections, error);
        }
    }
    if (error) {
        LogLine("listen-failed").add("port", what).add("address", address).add("detail", error.message()).error();
        return false;
    }
    this->listeners.push_back(Listener{acceptor, handler});
    boost::asio::co_spawn(this->context, this->accept(this->listeners.back()), boost::asio::detached);
    return true;
}

boost::asio::awaitable<void> Router::accept(Listener listener)
{
    while (listener.acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = co_await listener.acceptor->async_accept(awaitableWithError(error));
        if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            this->state.metrics.count("cyclamencross_connections_refused_total");
            co_await sleepFor(HousekeepingPeriod);
            continue;
        }
        this->startSession(std::move(socket), listener.handler);
    }
}

void Router::startSession(boost::asio::ip::tcp::socket socket, const HttpSession::Handler &handler)
{
    if (this->sessions.size() >= this->maxSessions() && !this->cutSlowestCaller()) {
        this->state.metrics.count("cyclamencross_connections_refused_total");
        return; // The socket is closed unread, so the caller can safely retry at another router.
    }
    auto session = std::make_shared<HttpSession>(
        std::move(socket), [this] { return this->limits(); }, handler);
    session->boundBodies(this->state.bodyMemory, [this](RouterRequest &request) { return this->refuseBody(request); });
    this->sessions.insert(session);
    boost::asio::co_spawn(this->context, this->serveSession(std::move(session)), boost::asio::detached);
}

void Router::closePorts()
{
    for (const Listener &listener : this->listeners) {
        boost::system::error_code error;
        listener.acceptor->non_blocking(true, error);
        while (!error) {
            boost::asio::ip::tcp::socket socket(this->context);
            listener.acceptor->accept(socket, error);
            if (!error) {
                this->startSession(std::move(socket), listener.handler);
            }
        }
        listener.acceptor->close(error);
    }
}

boost::asio::awaitable<void> Router::serveSession(std::shared_ptr<HttpSession> session)
{
    co_await session->run();
    this->sessions.erase(session);
}

boost::asio::awaitable<void> Router::handleCaller(HttpSession &session, RouterRequest &request)
{
    this->platform.backendCodec.decodeRequest(request);
    // Near the limit of connections, an idle one would keep a new caller out.
    if (this->state.stopping || this->sessions.size() > this->reserveFrom()) {
        session.closeAfterResponse();
    }
    if (this->refusing) {
        co_await this->refuse(session, request, 503, "stopping");
        co_return;
    }
    if (!this->state.table || !this->state.backendsKnown) {
        co_await this->refuse(session, request, 503, "no-configuration");
        co_return;
    }
    const TimePoint holdEnd = Clock::now() + std::min(MaxHold, request.timeLeft.value_or(MaxHold));
    const bool mayDecide = co_await this->state.waitUntilCurrent(holdEnd);
    if (!mayDecide) {
        co_await this->refuse(session, request, 503, "not-certain");
        co_return;
    }
    const auto table = this->state.table;
    const RouteConfig *route = table->match(request.host, request.target);
    if (route == nullptr) {
        // The store may be away for this router only, and hold a route that was added.
        const bool isCertain = this->state.isCurrent();
        co_await this->refuse(session, request, isCertain ? 404 : 503, isCertain ? "no-route" : "not-certain");
        co_return;
    }
    CallerAccess access(request.apiKey);
    const auto verdict = access.check(table, *route, this->state.mayTrustKeys(Clock::now()));
    if (verdict != CallerAccess::Verdict::Granted) {
        co_await this->refuse(session, request, refusalStatus(verdict), refusalReason(verdict), access.workspace());
        co_return;
    }
    const std::string service = this->chooseService(*route);
    std::unique_ptr<RequestHandler> handler;
    if (route->kind == RequestKind::Stream) {
        handler = std::make_unique<StreamRequestHandler>(this->state, this->platform.backendCodec, session, request,
                                                         table, *route, access, service);
    } else {
        handler = std::make_unique<PlainRequestHandler>(this->state, this->platform.backendCodec, session, request,
                                                        table, *route, access, service);
    }
    this->running.insert(handler.get());
    co_await handler->handle();
    this->running.erase(handler.get());
}

boost::asio::awaitable<void> Router::refuse(HttpSession &session, const RouterRequest &request, int status,
                                            std::string reason, const WorkspaceConfig *workspace)
{
    this->state.metrics.count("cyclamencross_refusals_total", {{"reason", reason}});
    LogLine("request-refused")
        .add("request", request.id)
        .add("status", status)
        .add("reason", reason)
        .add("workspace", workspace != nullptr ? workspace->name : std::string())
        .add("target", request.target)
        .add("config", this->state.table ? this->state.table->version() : 0)
        .add("certainty_age_ms", this->state.certaintyAge().value_or(Millis(-1)).count())
        .write();
    const HeaderList headers =
        status == 503 ? this->platform.backendCodec.refusalHeaders(this->state.retryAfterDelay()) : HeaderList();
    co_await session.reply(status, "", headers, "");
}

HeaderList Router::refuseBody(RouterRequest &request)
{
    this->platform.backendCodec.decodeRequest(request);
    const WorkspaceConfig *workspace = this->state.table && !request.apiKey.empty()
        ? this->state.table->workspaceOfKey(ApiKeyHash(request.apiKey))
        : nullptr;
    this->state.metrics.count("cyclamencross_refusals_total", {{"reason", "memory"}});
    LogLine("request-refused")
        .add("request", request.id)
        .add("status", 503)
        .add("reason", "memory")
        .add("workspace", workspace != nullptr ? workspace->name : std::string())
        .add("target", request.target)
        .add("body_bytes_held", std::int64_t(this->state.bodyMemory->heldBytes()))
        .write();
    return this->platform.backendCodec.refusalHeaders(this->state.retryAfterDelay());
}

boost::asio::awaitable<void> Router::handleDirectory(HttpSession &session, RouterRequest &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    HeaderList headers;
    if (path == this->platform.directoryCodec.readyPath) {
        co_await session.reply(this->state.isReady() ? 200 : 503, "", headers, "");
    } else if (path == this->platform.directoryCodec.resolvePath) {
        // Whole seconds, rounded down: 0 if callers may cache an address for less than a second only.
        const auto ttl =
            std::chrono::floor<std::chrono::seconds>(std::min(AddressTtl, this->state.settings.maxAddressTtl));
        headers.add("Content-Type", "application/json");
        co_await session.reply(
            200, "", headers, this->platform.directoryCodec.encodeAddresses(this->callerAddresses(), int(ttl.count())));
    } else {
        co_await session.reply(404, "", headers, "");
    }
}

boost::asio::awaitable<void> Router::handleMetrics(HttpSession &session, RouterRequest &request)
{
    HeaderList headers;
    headers.add("Content-Type", "text/plain; version=0.0.4");
    const bool known = request.target == "/metrics";
    std::string text = known ? this->state.metrics.serialize() : std::string();
    co_await session.reply(known ? 200 : 404, "", headers, std::move(text));
}

std::vector<std::string> Router::callerAddresses()
{
    std::vector<std::string> addresses;
    std::vector<std::string> cutOff; // Of routers that reach no backend server of a service.
    this->state.members.forEach([&](const std::string &name, const RouterMember &member) {
        if (name != this->state.settings.name) {
            (this->state.isPeerCutOff(name) ? cutOff : addresses).push_back(member.callerAddress);
        }
    });
    const bool isCutOff = !this->state.cutOffServices().empty();
    // If most are cut off, those that are not would get all callers; peers serve the requests of the others anyway.
    const std::size_t serving = addresses.size() + (isCutOff ? 0 : 1);
    const bool listsAll = double(serving) < MinServingShare * double(addresses.size() + cutOff.size() + 1);
    if (listsAll) {
        addresses.insert(addresses.end(), cutOff.begin(), cutOff.end());
    }
    // Fisher-Yates shuffle with random(); std::shuffle would need a generator of its own.
    for (std::size_t i = addresses.size(); i > 1; --i) {
        std::swap(addresses[i - 1], addresses[std::size_t(this->state.random() * double(i)) % i]);
    }
    if ((this->state.isReady() && (!isCutOff || listsAll)) || addresses.empty()) {
        addresses.insert(addresses.begin(), this->state.settings.callerAddress);
    }
    addresses.resize(std::min(addresses.size(), MaxAddresses));
    return addresses;
}

std::string Router::chooseService(const RouteConfig &route)
{
    double sum = 0;
    for (const WeightedService &target : route.services) {
        sum += target.weight;
    }
    double remaining = this->state.random() * sum;
    for (const WeightedService &target : route.services) {
        remaining -= target.weight;
        if (remaining <= 0 && target.weight > 0) {
            return target.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

CallerLimits Router::limits() const
{
    return this->state.table ? this->state.table->limits() : CallerLimits();
}

boost::asio::awaitable<void> Router::runHousekeeping()
{
    while (true) {
        co_await sleepFor(HousekeepingPeriod);
        const TimePoint now = Clock::now();
        this->sync.expire(now);
        this->state.crashes.expire(now);
        this->state.regroupIfPending(now);
        this->state.connections.expire(now);
        const auto isRegistered = [this](const std::string &id) { return this->state.backends.find(id) != nullptr; };
        this->state.health.retain(isRegistered);
        this->state.namedLimits->advance(now, unixMillis());
        this->state.expireStatements(now);
        this->quotaMetrics.publish(this->state.quotas, this->state.metrics, now);
        this->state.metrics.set("cyclamencross_active_requests", double(this->running.size()));
        this->state.metrics.set("cyclamencross_caller_connections", double(this->sessions.size()));
        this->state.metrics.set("cyclamencross_body_bytes_held", double(this->state.bodyMemory->heldBytes()));
        this->checkSessions(now);
        this->state.metrics.set("cyclamencross_routers", double(this->state.members.size()));
        if (const auto confirmedAt = this->state.freshness.confirmedAt()) {
            this->state.metrics.set("cyclamencross_store_certainty_seconds", toSeconds(now - *confirmedAt));
        }
    }
}

boost::asio::awaitable<void> Router::waitForSignals()
{
    while (true) {
        boost::system::error_code error;
        const int signal = co_await this->signals.async_wait(awaitableWithError(error));
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            this->reload();
            continue;
        }
        LogLine("stop-begun")
            .add("signal", signal)
            .add("active", std::uint64_t(this->running.size()))
            .add("handled_late_ms_at_most", toSeconds(Clock::now() - this->loopMonitor.earliestArrival()) * 1000)
            .write();
        boost::asio::co_spawn(this->context, this->stop(), boost::asio::detached);
        co_return;
    }
}

void Router::reload()
{
    auto settings = boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<std::optional<RouterSettings>> {
            BOOST_LEAF_AUTO(loaded, loadRouterSettings(this->settingsPath));
            return std::optional<RouterSettings>(std::move(loaded));
        },
        [](const InvalidSetting &fault) {
            LogLine("reload-failed").add("key", fault.key).add("expected", fault.expected).error();
            return std::optional<RouterSettings>();
        },
        [] { return std::optional<RouterSettings>(); });
    if (!settings) {
        return;
    }
    // These bounds take effect at once; all other settings apply at the next start.
    RouterSettings &current = this->state.settings;
    current.stopGrace = settings->stopGrace;
    current.maxAddressTtl = settings->maxAddressTtl;
    current.revokeTime = settings->revokeTime;
    current.strictRevoke = settings->strictRevoke;
    // The environment may have set these.
    settings->configBound = current.configBound;
    settings->drainBound = current.drainBound;
    LogLine("reloaded").add("changed", !(current == *settings)).write();
}

boost::asio::awaitable<void> Router::monitorEventLoop()
{
    TimePoint nextLog = Clock::now();
    while (true) {
        co_await sleepFor(EventLoopMonitor::TickPeriod);
        const TimePoint now = Clock::now();
        const Millis delay = this->loopMonitor.tick(now);
        this->state.metrics.observe("cyclamencross_event_loop_delay_seconds", toSeconds(delay));
        if (delay >= EventLoopMonitor::LateDelay && now >= nextLog) {
            nextLog = now + LateLogPeriod;
            LogLine("event-loop-late").add("ms", std::int64_t(delay.count())).warn();
        }
    }
}

boost::asio::awaitable<void> Router::stop()
{
    const StopSchedule schedule(this->loopMonitor.earliestArrival(), this->state.settings.stopGrace);
    this->state.stopping = true;
    this->state.stopSchedule = schedule;
    boost::asio::co_spawn(this->context, this->sync.unregister(), boost::asio::detached);
    while (Clock::now() < schedule.refuseAt()) {
        co_await sleepFor(StopPollPeriod);
    }
    this->refusing = true;
    this->closePorts();
    co_await this->waitForRequests(schedule.closeIdleAt());
    for (const auto &session : this->sessions) {
        session->closeIfIdle();
    }
    // The sessions that remain read a request, which will be refused, or wait until their caller has received the last
    // response. Exiting with unread bytes would reset the connection, and the caller could lose that response.
    co_await this->waitForRequests(schedule.answerAt());
    for (RequestHandler *handler : this->running) {
        if (!handler->isResponseStarted()) {
            handler->cancel();
        }
    }
    while (Clock::now() < schedule.endAt() && (!this->running.empty() || !this->sessions.empty())) {
        for (const auto &session : this->sessions) {
            session->refuseIncompleteRequest();
        }
        co_await this->waitForRequests(Clock::now() + StopPollPeriod);
    }
    const std::size_t unfinished = this->running.size();
    for (RequestHandler *handler : this->running) {
        handler->cancel();
    }
    co_await this->waitForRequests(Clock::now() + StopPollPeriod);
    LogLine("stopped")
        .add("unfinished", std::uint64_t(unfinished))
        .add("after_ms", std::int64_t(schedule.sinceBegin(Clock::now()).count()))
        .write();
    this->context.stop();
}

boost::asio::awaitable<void> Router::waitForRequests(TimePoint time)
{
    while (Clock::now() < time && (!this->running.empty() || !this->sessions.empty())) {
        co_await sleepFor(std::min(StopPollPeriod, std::chrono::ceil<Millis>(time - Clock::now())));
    }
}

}
