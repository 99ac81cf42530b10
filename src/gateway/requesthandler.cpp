#include "requestrun.h"

#include "awaiting.h"
#include "httpsession.h"
#include "routerstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httplink.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace Cyclamen
{

namespace
{

// A crashed process refuses connections at once; one that only broke off an answer accepts them.
constexpr Millis CrashCheckTimeout{300};
// Late answers to other requests that are passed over before a connection counts as broken.
constexpr int MaxStrayAnswers = 3;

boost::asio::awaitable<void> probeForCrash(RouterState &state, BackendServer server, std::uint64_t fingerprint,
                                           std::string requestId)
{
    const auto link = co_await state.links.open(server.address, CrashCheckTimeout);
    if (link) {
        link->close();
        co_return;
    }
    state.noteCrash(CrashReport{fingerprint, server.id, state.settings.name, unixSeconds()});
    LogLine("backend-crash").add("request", requestId).add("backend", server.id).warn();
}

}

RequestRun::RequestRun(RouterState &state, const BackendWire &wire, HttpSession &session, RouterRequest &request,
                       std::shared_ptr<const RouteTable> table, const RouteRule &route, std::string service)
    : state(state)
    , wire(wire)
    , session(session)
    , request(request)
    , table(std::move(table))
    , route(route)
    , service(std::move(service))
    , deadline(request.received + std::min(route.timeout, request.timeLeft.value_or(route.timeout)))
{
}

RequestRun::~RequestRun() = default;

boost::asio::awaitable<void> RequestRun::run()
{
    this->state.retries.addRequest(this->service, Clock::now());
    this->session.onCallerGone([this] {
        if (this->link) {
            this->link->close();
        }
    });
    if (this->state.crashes.isContained(this->fingerprint(), unixSeconds())) {
        co_await this->giveUp("crash-contained");
    } else {
        co_await this->serve();
    }
    this->session.onCallerGone(nullptr);
    if (this->link) {
        this->link->close();
    }
    this->logEnd();
}

boost::asio::awaitable<bool> RequestRun::openLink(const BackendServer &server, bool fresh)
{
    this->link = fresh ? nullptr : this->state.links.takeIdle(server.id + server.address);
    if (!this->link) {
        const Millis timeout = std::min(ConnectTimeout, std::max(Millis(1), this->timeLeft()));
        this->link = co_await this->state.links.open(server.address, timeout);
        this->state.metrics.count("cyclamencross_backend_connects_total", {{"result", this->link ? "open" : "failed"}});
    }
    if (!this->link) {
        ++this->unreachable;
        this->tried.insert(server.id);
        this->note(server, CallOutcome::Unreachable);
    }
    co_return this->link != nullptr;
}

void RequestRun::giveBack(const BackendServer &server)
{
    if (this->link) {
        this->state.links.giveBack(server.id + server.address, this->link);
        this->link = nullptr;
    }
}

void RequestRun::send(const BackendServer &server, BackendCall call)
{
    ++this->arrivals;
    this->retryAllowed = false;
    call.backendId = server.id;
    call.timeLeft = std::max(Millis(1), this->timeLeft());
    std::string message = this->request.method + " " + this->request.target + " HTTP/1.1\r\n"
        + this->wire.encodeCall(this->request, call).text();
    if (!this->request.body.empty() || (this->request.method != "GET" && this->request.method != "HEAD")) {
        message += "Content-Length: " + std::to_string(this->request.body.size()) + "\r\n";
    }
    this->link->startExchange(message + "\r\n" + this->request.body, this->request.method == "HEAD");
}

boost::asio::awaitable<LinkStatus> RequestRun::readOwnHead(std::string backend, TimePoint until)
{
    for (int passedOver = 0; passedOver <= MaxStrayAnswers; ++passedOver) {
        LinkStatus status = co_await this->link->readHead(until);
        if (status != LinkStatus::Ok) {
            co_return status;
        }
        const int code = this->link->status();
        this->answer = this->wire.decodeAnswer(code, this->link->headers());
        const bool nameless = this->answer.requestId.empty() && code >= 300;
        if (nameless || this->answer.requestId == this->request.id) {
            if (this->answer.callsThere) {
                this->state.noteCallsThere(backend, *this->answer.callsThere, Clock::now());
            }
            co_return LinkStatus::Ok;
        }
        this->state.metrics.count("cyclamencross_stray_answers_total");
        status = co_await this->link->readRest(until);
        if (status != LinkStatus::Ok) {
            co_return status;
        }
        this->link->expectNextAnswer();
    }
    co_return LinkStatus::Malformed;
}

boost::asio::awaitable<LinkStatus> RequestRun::readOwnAnswer(std::string backend, TimePoint until)
{
    LinkStatus status = co_await this->readOwnHead(std::move(backend), until);
    if (status == LinkStatus::Ok) {
        status = co_await this->link->readRest(until);
    }
    co_return status;
}

bool RequestRun::isWhole(LinkStatus status) const
{
    return status == LinkStatus::Ok && this->answer.signedAnswer && !this->answer.encoded;
}

bool RequestRun::claimsNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool RequestRun::mayArrive()
{
    if (this->arrivals == 0 || this->retryAllowed) {
        return true;
    }
    this->retryAllowed = this->state.retries.takeRetry(this->service, this->state.routerCount(), Clock::now());
    this->state.metrics.count("cyclamencross_retries_total", {{"result", this->retryAllowed ? "allowed" : "denied"}});
    return this->retryAllowed;
}

void RequestRun::note(const BackendServer &server, CallOutcome outcome)
{
    if (this->session.isCallerGone()) {
        return; // The caller, not the backend server, ended the call.
    }
    this->state.noteOutcome(server.id, outcome, Clock::now());
}

void RequestRun::endBroken(const BackendServer &server, LinkStatus status)
{
    this->failure = status == LinkStatus::TimedOut ? "timeout" : "broken";
    this->note(server, CallOutcome::Broken);
    this->link->close();
    if (status == LinkStatus::Broken) {
        this->checkCrash(server);
    }
}

void RequestRun::checkCrash(const BackendServer &server)
{
    boost::asio::co_spawn(this->state.executor,
                          probeForCrash(this->state, server, this->fingerprint(), this->request.id),
                          boost::asio::detached);
}

boost::asio::awaitable<void> RequestRun::giveUp(std::string reason)
{
    if (this->session.isCallerGone()) {
        this->outcome = "caller-gone";
        co_return;
    }
    if (this->timeLeft() <= Millis(0)) {
        reason += ",deadline";
    }
    if (this->session.isAnswered()) {
        this->outcome = "broken-off:" + reason;
        this->session.abort();
        co_return;
    }
    if (!this->mayHaveRun) {
        this->outcome = "refused:" + reason;
        co_await this->session.reply(503, "", this->wire.refusalHeaders(this->state.comeBackIn()), "");
        co_return;
    }
    this->outcome = "failed:" + reason;
    const bool late = this->timeLeft() <= Millis(0);
    co_await this->session.reply(late ? 504 : 502, "", HeaderList(), "");
}

boost::asio::awaitable<void> RequestRun::passOn(std::string body)
{
    this->outcome = "answered";
    co_await this->session.reply(this->link->status(), this->link->reason(), this->link->headers(), std::move(body));
}

bool RequestRun::isOver() const
{
    return this->session.isCallerGone() || this->timeLeft() <= Millis(0);
}

bool RequestRun::mayUseAnother() const
{
    return this->sends < this->route.maxAttempts;
}

Millis RequestRun::timeLeft() const
{
    return std::chrono::duration_cast<Millis>(this->deadline - Clock::now());
}

std::uint64_t RequestRun::fingerprint() const
{
    return hash64(this->request.body, hash64(this->request.target));
}

void RequestRun::logEnd() const
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
        .add("sends", this->sends)
        .add("arrivals", this->arrivals)
        .add("unreachable", this->unreachable)
        .add("may_have_run", this->mayHaveRun)
        .add("first_ms", this->firstPart ? this->firstPart->count() : std::int64_t(-1))
        .add("longest_pause_ms", std::int64_t(this->longestPause.count()))
        .add("allowed_ms", this->request.timeLeft ? this->request.timeLeft->count() : std::int64_t(-1))
        .add("ms", std::int64_t(seconds * 1000))
        .write();
}

}
