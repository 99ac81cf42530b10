#include "requesthandler.h"

#include "asioutil.h"
#include "httpsession.h"
#include "requestpermit.h"
#include "routerstate.h"
#include "workreservation.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httpclientconnection.h"
#include "cyclamencross/route/retryafter.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace Cyclamen
{

namespace
{

// A crashed process refuses connections at once; one that only aborted a response accepts them, or drops them while its
// queue of new connections is full.
constexpr Millis CrashCheckTimeout{300};
// Number of late responses to other requests that are skipped before the connection counts as malformed.
constexpr int MaxStrayResponses = 3;

const char *failureName(ConnectionStatus status)
{
    switch (status) {
    case ConnectionStatus::TimedOut:
        return "timeout";
    case ConnectionStatus::NoMemory:
        return "memory";
    default:
        return "broken";
    }
}

// Engines know the priorities 0 to 9.
constexpr int LeastUrgentAtEngine = 9;
// Longer ids of prompt parts are replaced by a hash, since crash reports must fit into a datagram.
constexpr std::size_t MaxPartIdLength = 32;

boost::asio::awaitable<void> probeForCrash(RouterState &state, BackendServer server, CrashedCall call,
                                           std::string requestId)
{
    const TimePoint brokenAt = Clock::now();
    const ConnectionStatus probe = co_await state.connections.probe(server.address, CrashCheckTimeout);
    if (probe != ConnectionStatus::Broken) {
        co_return;
    }
    const TimePoint now = Clock::now();
    call.age = std::chrono::duration_cast<Millis>(now - brokenAt);
    std::vector<std::string> names;
    std::transform(call.suspects.begin(), call.suspects.end(), std::back_inserter(names),
                   [](const CrashSuspect &suspect) { return suspect.name; });
    const bool hadOutput = call.outputTime >= CrashAttribution::SoundOutputTime;
    state.metrics.count("cyclamencross_backend_crashes_total", {{"output", hadOutput ? "begun" : "none"}});
    LogLine("backend-crash")
        .add("request", requestId)
        .add("backend", server.id)
        .add("suspects", boost::algorithm::join(names, ","))
        .add("had_output", hadOutput)
        .add("output_ms", std::int64_t(call.outputTime.count()))
        .add("call_ms", std::int64_t(call.duration.count()))
        .warn();
    state.recordCrash(std::move(call), now);
}

}

RequestHandler::RequestHandler(RouterState &state, const BackendCodec &codec, HttpSession &session,
                               RouterRequest &request, std::shared_ptr<const RouteTable> table,
                               const RouteConfig &route, CallerAccess access, std::string service)
    : state(state)
    , codec(codec)
    , session(session)
    , request(request)
    , table(std::move(table))
    , route(route)
    , access(std::move(access))
    , workspace(this->access.workspace())
    , service(std::move(service))
    , deadline(request.received + std::min(route.timeout, request.timeLeft.value_or(route.timeout)))
    , quota(state, request, workspace)
    , certaintyAge(state.certaintyAge().value_or(Millis(-1)))
{
}

RequestHandler::~RequestHandler() = default;

boost::asio::awaitable<void> RequestHandler::handle()
{
    if (const auto retryAfter = this->quota.refuse()) {
        this->outcome = "over-quota";
        co_await this->session.reply(429, "", this->codec.refusalHeaders(*retryAfter), "");
    } else {
        co_await this->run();
        if (this->hasNotRun()) {
            this->quota.giveBack();
        }
    }
    this->logEnd();
}

bool RequestHandler::hasNotRun() const
{
    const bool wasNeverSent = this->outcome == "caller-gone" && this->callStart == TimePoint();
    return wasNeverSent || this->outcome.starts_with("refused:") || this->outcome == "handed-on";
}

boost::asio::awaitable<void> RequestHandler::run()
{
    if (!this->request.fromPeer) {
        this->state.retryBudget.addRequest(this->service, Clock::now()); // Counted by the router that the caller asked.
    }
    this->session.onCallerDisconnect([this] {
        if (this->connection) {
            this->connection->close();
        }
    });
    this->suspects = this->findSuspects();
    const CrashAttribution::Verdict verdict = this->state.crashes.check(this->suspects, Clock::now());
    this->isCrashTrial = verdict == CrashAttribution::Verdict::Trial;
    if (this->isCrashTrial) {
        LogLine("crash-trial")
            .add("request", this->request.id)
            .add("suspect", *this->state.crashes.findContained(this->suspects))
            .write();
    }
    if (verdict == CrashAttribution::Verdict::Contained) {
        co_await this->finishWithFailure("crash-contained");
    } else {
        co_await this->serve();
    }
    this->session.onCallerDisconnect(nullptr);
    if (this->connection) {
        this->connection->close();
    }
    if (!this->session.cutReason().empty()) {
        this->recordCutCaller();
    }
}

void RequestHandler::cancel()
{
    this->cancelled = true;
    if (this->connection) {
        this->connection->close();
    }
}

bool RequestHandler::isResponseStarted() const
{
    return this->session.isResponseStarted();
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
        this->state.recordReach(server, this->connection != nullptr);
    }
    if (!this->connection) {
        ++this->unreachableCount;
        this->excluded.insert(server.id);
        this->recordOutcome(server, CallOutcome::Unreachable);
        this->checkReach();
        co_return false;
    }
    // The server may have said that it leaves while this process did not run.
    const bool mayDecide = co_await this->state.waitUntilCurrent(this->deadline);
    if (!mayDecide) {
        this->connection->close();
        this->connection = nullptr;
    }
    co_return mayDecide;
}

void RequestHandler::releaseConnection(const BackendServer &server)
{
    if (this->connection) {
        this->state.connections.release(server.id + server.address, this->connection);
        this->connection = nullptr;
        this->responseMemory.release();
    }
}

void RequestHandler::send(const BackendServer &server, BackendCall call, RequestPermit &permit)
{
    permit.use();
    ++this->budgetedCalls;
    this->retryReserved = false;
    this->callStart = Clock::now();
    this->outputStart = std::nullopt;
    this->nextOutputTime = CrashAttribution::SoundOutputTime;
    if (this->access.hasWorkspaces()) {
        call.workspace = this->workspace != nullptr ? this->workspace->name : std::string();
    }
    if (call.stage != EngineStage::None && this->table->priorities(this->service).size() > 1) {
        call.priority = std::clamp(this->priority(), 0, LeastUrgentAtEngine);
    }
    call.backendId = server.id;
    call.timeLeft = std::max(Millis(1), this->timeLeft());
    this->startRequest(this->codec.encodeCall(this->request, call).text());
}

void RequestHandler::startRequest(std::string headers)
{
    const std::size_t bodyBytes = this->request.body.bytes().size();
    if (bodyBytes > 0 || (this->request.method != "GET" && this->request.method != "HEAD")) {
        headers += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    }
    this->connection->startRequest(this->request.method + " " + this->request.target + " HTTP/1.1\r\n" + headers
                                       + "\r\n",
                                   this->request.method == "HEAD", this->request.body);
}

boost::asio::awaitable<ConnectionStatus> RequestHandler::readMatchingHead(BackendServer server, TimePoint until)
{
    for (int strayResponses = 0; strayResponses <= MaxStrayResponses; ++strayResponses) {
        ConnectionStatus status = co_await this->connection->readHead(until);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
        const int code = this->connection->status();
        this->response = this->codec.decodeResponseHead(code, this->connection->headers());
        const bool withoutId = this->response.requestId.empty() && code >= 300;
        const bool isMatching = withoutId || this->response.requestId == this->request.id;
        this->state.recordStatements(server, this->response, !isMatching, Clock::now());
        if (isMatching) {
            if (this->response.requestsPerSecond && !withoutId) {
                this->state.recordNamedLimit(server.id, *this->response.requestsPerSecond, Clock::now());
            }
            if (this->response.reportedCalls) {
                this->state.recordReportedCalls(server.id, *this->response.reportedCalls, Clock::now());
            }
            co_return ConnectionStatus::Ok;
        }
        this->state.metrics.count("cyclamencross_stray_answers_total");
        status = co_await this->readBody(until);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
        this->connection->expectNextResponse();
    }
    co_return ConnectionStatus::Malformed;
}

boost::asio::awaitable<ConnectionStatus> RequestHandler::readBody(TimePoint until)
{
    // The previous response, if there was one, is gone.
    this->responseMemory = MemoryLease(this->state.bodyMemory, MemoryBudget::Use::ResponseBody);
    while (!this->connection->isComplete()) {
        const ConnectionStatus status = co_await this->connection->readSome(until);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
        if (!this->responseMemory.growTo(this->connection->bodyMemory())) {
            co_return ConnectionStatus::NoMemory;
        }
    }
    co_return ConnectionStatus::Ok;
}

boost::asio::awaitable<ConnectionStatus> RequestHandler::readMatchingResponse(BackendServer server, TimePoint until)
{
    ConnectionStatus status = co_await this->readMatchingHead(std::move(server), until);
    if (status == ConnectionStatus::Ok) {
        status = co_await this->readBody(until);
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
    this->retryReserved =
        this->state.retryBudget.takeRetry(this->service, this->state.routerCount(), Clock::now(), this->retryShare());
    this->state.metrics.count("cyclamencross_retries_total", {{"result", this->retryReserved ? "allowed" : "denied"}});
    return this->retryReserved;
}

void RequestHandler::recordOutcome(const BackendServer &server, CallOutcome outcome)
{
    if (this->session.isCallerDisconnected() || this->cancelled) {
        return; // The call was ended on this side and says nothing about the backend server.
    }
    this->state.recordOutcome(server.id, outcome, Clock::now());
}

void RequestHandler::failCall(const BackendServer &server, ConnectionStatus status)
{
    this->failure = failureName(status);
    // A call that was cancelled on this side says nothing about the backend server.
    if (status != ConnectionStatus::NoMemory && status != ConnectionStatus::Cancelled) {
        this->recordOutcome(server, CallOutcome::Broken);
    }
    this->connection->close();
    if (status == ConnectionStatus::Broken) {
        this->startCrashProbe(server);
    } else if (status == ConnectionStatus::TimedOut) {
        this->checkReach();
    }
}

void RequestHandler::checkReach() const
{
    if (this->state.onUnreachable) {
        this->state.onUnreachable(this->service);
    }
}

void RequestHandler::startCrashProbe(const BackendServer &server)
{
    const TimePoint now = Clock::now();
    CrashedCall call;
    call.id = randomNumber();
    call.backend = server.id;
    std::transform(this->suspects.begin(), this->suspects.end(), std::back_inserter(call.suspects),
                   [](const std::string &name) {
                       return CrashSuspect{name, false};
                   });
    call.duration = std::chrono::duration_cast<Millis>(now - this->callStart);
    if (this->outputStart) {
        call.outputTime = std::chrono::duration_cast<Millis>(now - *this->outputStart);
    }
    boost::asio::co_spawn(this->state.executor, probeForCrash(this->state, server, std::move(call), this->request.id),
                          boost::asio::detached);
}

void RequestHandler::recordOutput(TimePoint now)
{
    this->outputStart = this->outputStart.value_or(now);
    const Millis outputTime = std::chrono::duration_cast<Millis>(now - *this->outputStart);
    if (outputTime >= this->nextOutputTime) {
        this->state.recordServed(this->suspects, outputTime, now);
        this->nextOutputTime = CrashAttribution::nextOutputTime(outputTime);
    }
}

void RequestHandler::recordServed(TimePoint now)
{
    this->state.recordServed(this->suspects, CrashAttribution::WholeAnswer, now);
}

boost::asio::awaitable<void> RequestHandler::finishWithFailure(std::string reason)
{
    if (this->session.isCallerDisconnected()) {
        this->outcome = "caller-gone";
        co_return;
    }
    const std::string *contained = this->isCrashTrial ? nullptr : this->state.crashes.findContained(this->suspects);
    if (contained != nullptr) {
        reason = "crash-contained";
        LogLine("crash-contained").add("request", this->request.id).add("suspect", *contained).write();
    }
    if (this->timeLeft() <= Millis(0)) {
        reason += ",deadline";
    }
    if (this->cancelled) {
        reason += ",stopped";
    }
    if (this->session.isResponseStarted()) {
        this->outcome = "broken-off:" + reason;
        this->session.abort();
        co_return;
    }
    const CallerAccess::Verdict verdict = this->checkAccess();
    if (!this->mayHaveExecuted && verdict != CallerAccess::Verdict::Granted) {
        this->outcome = std::string("refused:") + refusalReason(verdict);
        const int status = refusalStatus(verdict);
        const HeaderList headers = status == 503 ? this->codec.refusalHeaders(this->retryAfterDelay()) : HeaderList();
        co_await this->session.reply(status, "", headers, "");
        co_return;
    }
    if (!this->mayHaveExecuted) {
        this->outcome = "refused:" + reason;
        const HeaderList headers =
            this->returnsInVain ? HeaderList() : this->codec.refusalHeaders(this->retryAfterDelay());
        co_await this->session.reply(503, "", headers, "");
        co_return;
    }
    this->outcome = "failed:" + reason;
    const bool late = this->timeLeft() <= Millis(0);
    co_await this->session.reply(late ? 504 : 502, "", HeaderList(), "");
}

bool RequestHandler::shouldHandOn()
{
    // A router that has lost only a part of its links would take long to find a server that it reaches.
    return !this->request.fromPeer && (!this->mayHaveExecuted || this->route.mayRepeat())
        && this->state.mayBeCutOff(this->service) && this->state.choosePeer(this->service, {});
}

boost::asio::awaitable<bool> RequestHandler::serveByPeer()
{
    std::set<std::string> asked;
    while (asked.size() < MaxPeers && this->shouldHandOn() && !this->shouldStop() && this->reserveRetry()) {
        const std::optional<RouterMember> peer = this->state.choosePeer(this->service, asked);
        if (!peer) {
            break;
        }
        asked.insert(peer->name);
        const Millis timeout = std::min(ConnectTimeout, std::max(Millis(1), this->timeLeft()));
        this->connection = co_await this->state.connections.open(peer->peerAddress, timeout);
        if (!this->connection || this->shouldStop()) {
            continue;
        }
        const bool answered = co_await this->callPeer(peer->name);
        if (answered) {
            co_return true;
        }
    }
    co_return false;
}

boost::asio::awaitable<bool> RequestHandler::callPeer(std::string peer)
{
    ++this->budgetedCalls;
    this->retryReserved = false;
    const bool resumes = this->isResponseStarted() && !this->request.lastEventId;
    const auto timeLeft =
        this->request.timeLeft ? std::optional(std::max(Millis(1), this->callerTimeLeft())) : std::nullopt;
    this->startRequest(this->codec
                           .encodeForPeer(this->request, timeLeft, this->resumePoint(),
                                          resumes ? this->request.id : this->request.resumedId)
                           .text());
    const ConnectionStatus status = co_await this->connection->readHead(this->deadline);
    const int code = status == ConnectionStatus::Ok ? this->connection->status() : 0;
    LogLine("handed-on").add("request", this->request.id).add("peer", peer).add("status", code).write();
    this->state.metrics.count("cyclamencross_handed_on_total",
                              {{"service", this->service}, {"result", code == 0 ? "broken" : std::to_string(code)}});
    bool answered = false;
    // A refusal is true for the peer only: an earlier call of this router may have run.
    const bool isRefusal = impliesNotExecuted(code) && this->mayHaveExecuted;
    if (code != 0 && !isRefusal) {
        answered = co_await this->forwardPeerResponse();
    }
    if (!answered) {
        this->mayHaveExecuted = true;
        this->failure = isRefusal ? "peer-refused" : "peer-broken";
    }
    this->connection->close();
    co_return answered;
}

boost::asio::awaitable<bool> RequestHandler::forwardPeerResponse()
{
    const ConnectionStatus status = co_await this->readBody(this->deadline);
    if (status != ConnectionStatus::Ok || this->isResponseStarted()) {
        co_return false;
    }
    this->outcome = "handed-on";
    std::string reason = this->connection->reason();
    HeaderList headers = this->connection->headers();
    const MemoryLease memory = std::move(this->responseMemory); // Counted until the caller has taken the body.
    co_await this->session.reply(this->connection->status(), std::move(reason), std::move(headers),
                                 this->connection->takeBody());
    co_return true;
}

std::optional<std::int64_t> RequestHandler::resumePoint() const
{
    return this->request.lastEventId;
}

Millis RequestHandler::retryAfterDelay()
{
    if (const std::string *contained = this->state.crashes.findContained(this->suspects)) {
        return std::max(this->state.retryAfterDelay(), this->state.crashes.timeUntilTrial(*contained, Clock::now()));
    }
    const auto silentUntil = this->silentUntil({});
    if (silentUntil && *silentUntil != TimePoint::max()) {
        const auto remaining = std::chrono::ceil<Millis>(*silentUntil - Clock::now());
        return RetryAfter::afterPause(remaining, this->state.random());
    }
    if (this->overloaded && this->waitBehindUrgent) {
        return RetryAfter::behindUrgent(*this->waitBehindUrgent, this->callerTimeLeft(), this->state.random());
    }
    // It is not known when other servers replace those that leave.
    return this->overloaded || silentUntil ? RetryAfter::afterOverload(this->callerTimeLeft(), this->state.random())
                                           : this->state.retryAfterDelay();
}

boost::asio::awaitable<void> RequestHandler::forwardResponse(BackendServer server)
{
    this->outcome = "answered";
    this->request.body = RequestBody(); // The request is not sent again.
    const int status = this->connection->status();
    std::string reason = this->connection->reason();
    HeaderList headers = this->connection->headers();
    std::string body = this->connection->takeBody();
    // Counted until the caller has taken the body.
    const MemoryLease memory = std::move(this->responseMemory);
    this->releaseConnection(server);
    co_await this->session.reply(status, std::move(reason), std::move(headers), std::move(body));
}

void RequestHandler::recordCutCaller()
{
    const std::string &reason = this->session.cutReason();
    this->outcome = "caller-gone:" + reason;
    this->state.metrics.count("cyclamencross_slow_callers_cut_total", {{"reason", reason}});
    LogLine("slow-caller-cut")
        .add("request", this->request.id)
        .add("workspace", this->workspace != nullptr ? this->workspace->name : std::string())
        .add("reason", reason)
        .add("unsent_bytes", std::uint64_t(this->session.unsentAtCut()))
        .add("events", this->eventCount)
        .warn();
}

bool RequestHandler::shouldStop()
{
    return this->checkAccess() != CallerAccess::Verdict::Granted || this->session.isCallerDisconnected()
        || this->cancelled || this->timeLeft() <= Millis(0)
        || (!this->isCrashTrial && this->state.crashes.findContained(this->suspects) != nullptr);
}

std::string RequestHandler::noCapacityReason()
{
    const bool stopping = this->state.stopSchedule && Clock::now() >= this->state.stopSchedule->refuseAt();
    this->overloaded = !stopping;
    return stopping ? "stopping" : "no-room";
}

EngineStage RequestHandler::servingStage() const
{
    const ServiceConfig *config = this->table->service(this->service);
    const bool hasEngines = config != nullptr && config->engine && config->engine->kvCacheTokens > 0;
    return this->route.kind == RequestKind::Stream && hasEngines ? EngineStage::Decode : EngineStage::None;
}

std::optional<TimePoint> RequestHandler::silentUntil(const std::set<std::string> &left) const
{
    const bool withOtherGroups = this->route.kind == RequestKind::Stream;
    return this->state.silentUntil(this->service, this->servingStage(), withOtherGroups, left, Clock::now());
}

void RequestHandler::setSilenceFailure()
{
    const auto until = this->silentUntil({});
    const bool isPaused = until && *until != TimePoint::max();
    const std::string whileSilent = isPaused ? "all-paused" : "all-leaving";
    this->failure = until ? whileSilent : "others-silent";
    const Millis pauseLeft = isPaused ? std::chrono::ceil<Millis>(*until - Clock::now()) : Millis(-1);
    LogLine("no-backend-now")
        .add("request", this->request.id)
        .add("service", this->service)
        .add("reason", this->failure)
        .add("pause_ms", std::int64_t(pauseLeft.count()))
        .write();
}

Millis RequestHandler::longestDuration() const
{
    return this->state.routeDurations.longest(this->route.name).value_or(this->route.timeout);
}

bool RequestHandler::hasAttemptsLeft() const
{
    return this->attempts < this->route.maxAttempts;
}

int RequestHandler::priority() const
{
    return this->workspace != nullptr ? this->workspace->priority.value_or(this->route.priority) : this->route.priority;
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

std::vector<std::string> RequestHandler::findSuspects() const
{
    std::vector<std::string> names;
    for (const std::string &part : this->request.sharedPromptParts) {
        names.push_back("part:" + (part.size() > MaxPartIdLength ? toHex(hash64(part)) : part));
    }
    names.push_back("request:" + toHex(hash64(this->request.body.bytes(), hash64(this->request.target))));
    return names;
}

CallerAccess::Verdict RequestHandler::checkAccess()
{
    const CallerAccess::Verdict verdict =
        this->access.check(this->state.table, this->route, this->state.mayTrustKeys(Clock::now()));
    this->workspace = this->access.workspace();
    return verdict;
}

void RequestHandler::logEnd()
{
    const double seconds = toSeconds(Clock::now() - this->request.received);
    this->state.metrics.count(
        "cyclamencross_requests_total",
        {{"service", this->service}, {"outcome", this->outcome.substr(0, this->outcome.find(':'))}});
    if (this->access.hasWorkspaces()) {
        this->state.countForWorkspace("cyclamencross_workspace_requests_total",
                                      this->workspace != nullptr ? this->workspace->name : std::string(),
                                      {{"outcome", this->outcome.substr(0, this->outcome.find(':'))}});
    }
    this->state.metrics.observe("cyclamencross_request_seconds", seconds, {{"service", this->service}});
    LogLine line("request-end");
    if (this->state.stopSchedule) {
        line.add("after_stop_ms", std::int64_t(this->state.stopSchedule->sinceBegin(this->request.received).count()));
    }
    line.add("request", this->request.id)
        .add("route", this->route.name)
        .add("config", this->table->version())
        .add("certainty_age_ms", this->certaintyAge.count())
        .add("service", this->service)
        .add("workspace", this->workspace != nullptr ? this->workspace->name : std::string())
        .add("priority", std::int64_t(this->priority()))
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
        .add("resumed", this->request.resumedId)
        .add("resumed_after", this->request.lastEventId.value_or(-1))
        .add("expected_output", this->request.expectedOutputTokens)
        .add("events", this->eventCount)
        .add("ms", std::int64_t(seconds * 1000))
        .write();
}

}
