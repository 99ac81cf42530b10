#include "requesthandler.h"

#include "asioutil.h"
#include "httpsession.h"
#include "routerstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httpclientconnection.h"
#include "cyclamencross/route/retryafter.h"

#include <algorithm>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace Cyclamen
{

namespace
{

// A crashed process refuses connections at once; one that only aborted a response accepts them.
constexpr Millis CrashCheckTimeout{300};
// Number of late responses to other requests that are skipped before the connection counts as malformed.
constexpr int MaxStrayResponses = 3;

// What is known of a call when its connection breaks.
struct BrokenCall
{
    std::uint64_t fingerprint = 0;
    std::string requestId;
    std::vector<std::string> sharedPromptParts;
    std::int64_t events = 0; ///< Events received in this call.
    Millis duration{0};
};

boost::asio::awaitable<void> probeForCrash(RouterState &state, BackendServer server, BrokenCall call)
{
    const auto connection = co_await state.connections.open(server.address, CrashCheckTimeout);
    if (connection) {
        connection->close();
        co_return;
    }
    state.recordCrash(CrashReport{call.fingerprint, server.id, state.settings.name, unixSeconds()});
    state.metrics.count("cyclamencross_backend_crashes_total", {{"output", call.events > 0 ? "begun" : "none"}});
    LogLine("backend-crash")
        .add("request", call.requestId)
        .add("backend", server.id)
        .add("fingerprint", toHex(call.fingerprint))
        .add("prompt_parts", boost::algorithm::join(call.sharedPromptParts, ","))
        .add("events", call.events)
        .add("call_ms", std::int64_t(call.duration.count()))
        .warn();
}

}

RequestHandler::RequestHandler(RouterState &state, const BackendCodec &codec, HttpSession &session,
                               RouterRequest &request, std::shared_ptr<const RouteTable> table,
                               const RouteConfig &route, std::string service)
    : state(state)
    , codec(codec)
    , session(session)
    , request(request)
    , table(std::move(table))
    , route(route)
    , service(std::move(service))
    , deadline(request.received + std::min(route.timeout, request.timeLeft.value_or(route.timeout)))
{
}

RequestHandler::~RequestHandler() = default;

boost::asio::awaitable<void> RequestHandler::handle()
{
    this->state.retryBudget.addRequest(this->service, Clock::now());
    this->session.onCallerDisconnect([this] {
        if (this->connection) {
            this->connection->close();
        }
    });
    if (this->state.crashHistory.isContained(this->fingerprint(), unixSeconds())) {
        LogLine("crash-contained")
            .add("request", this->request.id)
            .add("fingerprint", toHex(this->fingerprint()))
            .add("prompt_parts", boost::algorithm::join(this->request.sharedPromptParts, ","))
            .write();
        co_await this->finishWithFailure("crash-contained");
    } else {
        co_await this->serve();
    }
    this->session.onCallerDisconnect(nullptr);
    if (this->connection) {
        this->connection->close();
    }
    this->logEnd();
}

boost::asio::awaitable<bool> RequestHandler::openConnection(const BackendServer &server, bool fresh)
{
    this->connection = fresh ? nullptr : this->state.connections.takeIdle(server.id + server.address);
    this->connectionReused = this->connection != nullptr;
    if (!this->connection) {
        const Millis timeout = std::min(ConnectTimeout, std::max(Millis(1), this->timeLeft()));
        this->connection = co_await this->state.connections.open(server.address, timeout);
        this->state.metrics.count("cyclamencross_backend_connects_total",
                                  {{"result", this->connection ? "open" : "failed"}});
    }
    if (!this->connection) {
        ++this->unreachableCount;
        this->excluded.insert(server.id);
        this->recordOutcome(server, CallOutcome::Unreachable);
    }
    co_return this->connection != nullptr;
}

void RequestHandler::releaseConnection(const BackendServer &server)
{
    if (this->connection) {
        this->state.connections.release(server.id + server.address, this->connection);
        this->connection = nullptr;
    }
}

void RequestHandler::send(const BackendServer &server, BackendCall call)
{
    ++this->budgetedCalls;
    this->retryReserved = false;
    this->callStart = Clock::now();
    this->eventsBeforeCall = this->eventCount;
    call.backendId = server.id;
    call.timeLeft = std::max(Millis(1), this->timeLeft());
    std::string message = this->request.method + " " + this->request.target + " HTTP/1.1\r\n"
        + this->codec.encodeCall(this->request, call).text();
    if (!this->request.body.empty() || (this->request.method != "GET" && this->request.method != "HEAD")) {
        message += "Content-Length: " + std::to_string(this->request.body.size()) + "\r\n";
    }
    this->connection->startRequest(message + "\r\n" + this->request.body, this->request.method == "HEAD");
}

boost::asio::awaitable<ConnectionStatus> RequestHandler::readMatchingHead(std::string backend, TimePoint until)
{
    for (int strayResponses = 0; strayResponses <= MaxStrayResponses; ++strayResponses) {
        ConnectionStatus status = co_await this->connection->readHead(until);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
        const int code = this->connection->status();
        this->response = this->codec.decodeResponseHead(code, this->connection->headers());
        const bool withoutId = this->response.requestId.empty() && code >= 300;
        if (withoutId || this->response.requestId == this->request.id) {
            if (this->response.reportedCalls) {
                this->state.recordReportedCalls(backend, *this->response.reportedCalls, Clock::now());
            }
            co_return ConnectionStatus::Ok;
        }
        this->state.metrics.count("cyclamencross_stray_answers_total");
        status = co_await this->connection->readBody(until);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
        this->connection->expectNextResponse();
    }
    co_return ConnectionStatus::Malformed;
}

boost::asio::awaitable<ConnectionStatus> RequestHandler::readMatchingResponse(std::string backend, TimePoint until)
{
    ConnectionStatus status = co_await this->readMatchingHead(std::move(backend), until);
    if (status == ConnectionStatus::Ok) {
        status = co_await this->connection->readBody(until);
    }
    co_return status;
}

bool RequestHandler::isValidResponse(ConnectionStatus status) const
{
    return status == ConnectionStatus::Ok && this->response.isSigned && !this->response.hasContentEncoding;
}

bool RequestHandler::impliesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool RequestHandler::reserveRetry()
{
    if (this->budgetedCalls == 0 || this->retryReserved) {
        return true;
    }
    this->retryReserved = this->state.retryBudget.takeRetry(this->service, this->state.routerCount(), Clock::now());
    this->state.metrics.count("cyclamencross_retries_total", {{"result", this->retryReserved ? "allowed" : "denied"}});
    return this->retryReserved;
}

void RequestHandler::recordOutcome(const BackendServer &server, CallOutcome outcome)
{
    if (this->session.isCallerDisconnected()) {
        return; // The call was ended by the caller and says nothing about the backend server.
    }
    this->state.recordOutcome(server.id, outcome, Clock::now());
}

void RequestHandler::failCall(const BackendServer &server, ConnectionStatus status)
{
    this->failure = status == ConnectionStatus::TimedOut ? "timeout" : "broken";
    this->recordOutcome(server, CallOutcome::Broken);
    this->connection->close();
    if (status == ConnectionStatus::Broken) {
        this->startCrashProbe(server);
    }
}

void RequestHandler::startCrashProbe(const BackendServer &server)
{
    const Millis duration = std::chrono::duration_cast<Millis>(Clock::now() - this->callStart);
    boost::asio::co_spawn(
        this->state.executor,
        probeForCrash(this->state, server,
                      BrokenCall{this->fingerprint(), this->request.id, this->request.sharedPromptParts,
                                 this->eventCount - this->eventsBeforeCall, duration}),
        boost::asio::detached);
}

boost::asio::awaitable<void> RequestHandler::finishWithFailure(std::string reason)
{
    if (this->session.isCallerDisconnected()) {
        this->outcome = "caller-gone";
        co_return;
    }
    if (this->timeLeft() <= Millis(0)) {
        reason += ",deadline";
    }
    if (this->session.isResponseStarted()) {
        this->outcome = "broken-off:" + reason;
        this->session.abort();
        co_return;
    }
    if (!this->mayHaveExecuted) {
        this->outcome = "refused:" + reason;
        co_await this->session.reply(503, "", this->codec.refusalHeaders(this->retryAfterDelay()), "");
        co_return;
    }
    this->outcome = "failed:" + reason;
    const bool late = this->timeLeft() <= Millis(0);
    co_await this->session.reply(late ? 504 : 502, "", HeaderList(), "");
}

Millis RequestHandler::retryAfterDelay()
{
    return this->overloaded ? RetryAfter::afterOverload(this->callerTimeLeft(), this->state.random())
                            : this->state.retryAfterDelay();
}

boost::asio::awaitable<void> RequestHandler::forwardResponse(std::string body)
{
    this->outcome = "answered";
    co_await this->session.reply(this->connection->status(), this->connection->reason(), this->connection->headers(),
                                 std::move(body));
}

bool RequestHandler::shouldStop() const
{
    return this->session.isCallerDisconnected() || this->timeLeft() <= Millis(0);
}

bool RequestHandler::hasAttemptsLeft() const
{
    return this->attempts < this->route.maxAttempts;
}

Millis RequestHandler::timeLeft() const
{
    return std::chrono::duration_cast<Millis>(this->deadline - Clock::now());
}

Millis RequestHandler::callerTimeLeft() const
{
    const Millis allowed = this->request.timeLeft.value_or(this->route.timeout);
    return allowed - std::chrono::duration_cast<Millis>(Clock::now() - this->request.received);
}

std::uint64_t RequestHandler::fingerprint() const
{
    return hash64(this->request.body, hash64(this->request.target));
}

void RequestHandler::logEnd() const
{
    const double seconds = toSeconds(Clock::now() - this->request.received);
    this->state.metrics.count(
        "cyclamencross_requests_total",
        {{"service", this->service}, {"outcome", this->outcome.substr(0, this->outcome.find(':'))}});
    this->state.metrics.observe("cyclamencross_request_seconds", seconds, {{"service", this->service}});
    LogLine("request-end")
        .add("request", this->request.id)
        .add("route", this->route.name)
        .add("config", this->table->version())
        .add("service", this->service)
        .add("outcome", this->outcome)
        .add("sends", this->attempts)
        .add("arrivals", this->budgetedCalls)
        .add("unreachable", this->unreachableCount)
        .add("may_have_run", this->mayHaveExecuted)
        .add("first_ms", this->timeToFirstChunk ? this->timeToFirstChunk->count() : std::int64_t(-1))
        .add("longest_pause_ms", std::int64_t(this->longestChunkGap.count()))
        .add("allowed_ms", this->request.timeLeft ? this->request.timeLeft->count() : std::int64_t(-1))
        .add("prompt_tokens", this->request.promptTokens)
        .add("max_output", this->request.maxOutputTokens)
        .add("expected_output", this->request.expectedOutputTokens)
        .add("events", this->eventCount)
        .add("ms", std::int64_t(seconds * 1000))
        .write();
}

}
