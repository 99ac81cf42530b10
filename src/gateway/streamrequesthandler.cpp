#include "streamrun.h"

#include "awaiting.h"
#include "httpsession.h"
#include "roomwaiter.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httplink.h"
#include "cyclamencross/route/placement.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Cyclamen
{

namespace
{

// Decode engines that one request is offered to at the most, whatever the route allows.
constexpr int MaxDecodeCalls = 6;
// Engines that can't be reached before a stream is given up. Half of a group's engines may be lost at once, and a
// request that was not sent costs nothing but the time to connect; the wait for room ends first where that takes long.
constexpr int MaxUnreachableEngines = 12;
// A prefill call is given up after this many times its expected duration; the decode engine then reads the prompt.
constexpr double PrefillPatience = 4;
constexpr Millis LeastPrefillPatience{400};
constexpr Millis MostPrefillPatience{1500};
// Decode engines read prompts at half the speed of prefill engines, and other requests' tokens come in between.
constexpr double DirectReadFactor = 2.5;
// Share of the target for the first event above which the wait for a prefill engine is too long.
constexpr double LongPrefillShare = 0.5;
// A silent engine is checked after a pause of this many times the longest one that is on time.
constexpr int StallFactor = 3;
constexpr Millis LeastStall{700};
constexpr Millis ReleaseTimeout{500};
constexpr Millis ProgressPeriod{100};
// Part of the target for the first event up to which a request that finds room can still be on time; the rest is for
// reading the prompt.
constexpr double OnTimeShare = 0.6;
// A late request waits for room for this many times the target. Callers leave a stream without a first event after four
// times the target.
constexpr int LateFactor = 3;
// A stream that has begun waits for room to go on for this many times the longest pause that is on time; callers leave
// after eight times.
constexpr int ResumeFactor = 6;
// Lifetime asked for a reservation: longer than reading a prompt takes, including the queue before it.
constexpr Millis HoldTime{1500};
constexpr Millis HoldTimeout{300};

// Watches the pauses of a stream that can go on elsewhere. An engine that is silent and accepts no connection any more
// is gone, and its link is closed; one that only pauses is left alone, since its silence alone is no reason to give it
// up.
boost::asio::awaitable<void> watchProgress(RouterState &state, std::shared_ptr<HttpLink> link,
                                           std::shared_ptr<StreamProgress> progress, Millis stall)
{
    while (!progress->finished) {
        co_await sleepFor(ProgressPeriod);
        if (progress->finished || Clock::now() - progress->last < stall) {
            continue;
        }
        const auto probe = co_await state.links.open(link->address(), RequestRun::ConnectTimeout);
        if (probe) {
            probe->close();
            progress->last = Clock::now();
            continue;
        }
        if (!progress->finished) {
            link->close();
        }
        co_return;
    }
}

boost::asio::awaitable<void> sendAndForget(RouterState &state, std::string address, std::string call)
{
    const auto link = co_await state.links.open(address, RequestRun::ConnectTimeout);
    if (!link) {
        co_return;
    }
    const TimePoint until = Clock::now() + ReleaseTimeout;
    // The lifetime of what is released ends it too, so a release that fails is not repeated.
    std::optional<std::string> noBody;
    co_await link->exchange(std::move(call), std::move(noBody), until);
    link->close();
}

}

boost::asio::awaitable<void> StreamRun::serve()
{
    this->failure = "no-engine";
    this->lastEvent = this->request.lastEventId;
    const Millis timeout = this->route.timeout;
    this->usedBefore = this->state.patience.usedBefore(this->route.name, this->request.timeLeft.value_or(timeout),
                                                       timeout, Clock::now());
    const bool reserved = co_await this->reserveDecode();
    if (reserved) {
        co_await this->prefill();
    }
    int calls = 0;
    while (calls < MaxDecodeCalls && this->engine && !this->isOver()) {
        if (this->unreachable >= MaxUnreachableEngines) {
            break;
        }
        if (!this->mayArrive()) {
            this->failure += ",retry-budget";
            break;
        }
        const bool withMemory = this->memory.has_value();
        const Step step = co_await this->decode();
        calls += step == Step::Unreachable ? 0 : 1;
        if (step == Step::Done) {
            co_return;
        }
        if (this->isOver() || (step == Step::MayHaveRun && !this->route.mayRepeat())) {
            break;
        }
        const bool sameAgain = step == Step::NotRun && withMemory && this->state.isUsable(*this->engine);
        if (sameAgain) {
            continue; // The memory was gone; the engine reads the prompt itself.
        }
        if (step != Step::Unreachable && !this->mayUseAnother()) {
            break;
        }
        const bool again = co_await this->reserveDecode();
        if (!again) {
            break;
        }
    }
    this->dropHold();
    this->releaseMemory();
    co_await this->giveUp(this->failure);
}

boost::asio::awaitable<bool> StreamRun::reserveDecode()
{
    const TimePoint begun = Clock::now();
    RoomWaiter waiter(this->state, this->service, this->roomWait());
    while (!this->isOver()) {
        const RoomWait::Turn turn = waiter.turn();
        if (turn != RoomWait::Turn::Yield && this->chooseDecode()) {
            const bool taken = co_await this->takeHold();
            if (taken) {
                this->logDecode();
                co_return true;
            }
            continue;
        }
        if (turn == RoomWait::Turn::End || this->unreachable >= MaxUnreachableEngines) {
            this->failure = "no-room";
            break;
        }
        co_await waiter.pause();
    }
    LogLine("no-room")
        .add("request", this->request.id)
        .add("waited_ms", std::int64_t(toSeconds(Clock::now() - begun) * 1000))
        .add("used_before_ms", std::int64_t(this->usedBefore.count()))
        .write();
    co_return false;
}

RoomWait StreamRun::roomWait() const
{
    if (this->session.isAnswered()) {
        const Millis longest = this->route.gapTarget * ResumeFactor;
        return RoomWait(Clock::now(), longest, longest);
    }
    const Millis target = this->route.targetLatency;
    const Millis longest = std::min(target * LateFactor, this->route.timeout / 4);
    // A caller that was refused for want of room has waited that long before; its target has passed.
    const bool cameBack = this->usedBefore >= longest;
    const Millis onTimeFor = cameBack ? Millis(0) : std::chrono::duration_cast<Millis>(target * OnTimeShare);
    return RoomWait(this->request.received, onTimeFor, longest);
}

void StreamRun::logDecode() const
{
    LogLine("placement")
        .add("request", this->request.id)
        .add("stage", "decode")
        .add("candidates", std::int64_t(this->choices))
        .add("backend", this->chosen.server.id)
        .add("in_flight", this->chosen.work.requests)
        .add("memory_tokens", this->chosen.work.memoryTokens)
        .add("failure_rate", this->chosen.failureRate)
        .add("avoided", this->chosen.avoided)
        .write();
}

boost::asio::awaitable<bool> StreamRun::takeHold()
{
    const ServiceRule *rule = this->table->service(this->service);
    const Millis longest = rule != nullptr && rule->engine ? rule->engine->holdLifetime : Millis(0);
    if (longest <= Millis(0)) {
        co_return true;
    }
    const BackendServer server = *this->engine;
    const bool open = co_await this->openLink(server, false);
    if (!open || this->isOver()) {
        this->engine = std::nullopt;
        co_return false;
    }
    auto [call, body] = this->wire.holdCall(this->decodeWork().memoryTokens, std::min(longest, HoldTime));
    const TimePoint until = std::min(this->deadline, Clock::now() + HoldTimeout);
    std::optional<std::string> json = std::move(body);
    const LinkStatus status = co_await this->link->exchange(std::move(call), std::move(json), until);
    if (status != LinkStatus::Ok) {
        this->link->close();
        this->note(server, CallOutcome::Broken);
        this->tried.insert(server.id);
        ++this->unreachable;
        this->engine = std::nullopt;
        co_return false;
    }
    const int code = this->link->status();
    const auto taken = code == 200 ? this->wire.decodeHold(this->link->takeBody()) : std::nullopt;
    this->giveBack(server);
    if (taken) {
        this->hold = *taken;
        co_return true;
    }
    this->state.metrics.count("cyclamencross_holds_refused_total");
    this->state.noteFull(server.id, Clock::now());
    this->reservation = nullptr;
    this->engine = std::nullopt;
    co_return false;
}

void StreamRun::dropHold()
{
    if (!this->hold.empty() && this->engine) {
        this->callAndForget(this->engine->address, this->wire.dropHoldCall(this->hold));
    }
    this->hold.clear();
}

void StreamRun::callAndForget(const std::string &address, const std::string &call)
{
    boost::asio::co_spawn(this->state.executor, sendAndForget(this->state, address, call), boost::asio::detached);
}

bool StreamRun::chooseDecode()
{
    this->reservation = nullptr;
    this->engine = std::nullopt;
    const ServiceRule *rule = this->table->service(this->service);
    const double capacity = rule != nullptr && rule->engine ? double(rule->engine->memoryTokens) : 0;
    const EngineStage stage = capacity > 0 ? EngineStage::Decode : EngineStage::None;
    const TimePoint now = Clock::now();
    const auto choose = [&](const std::vector<PlacementCandidate> &from) {
        return Placement::chooseDecode(from, double(this->decodeWork().memoryTokens), capacity,
                                       [this] { return this->state.random(); });
    };
    auto candidates = this->state.candidates(this->service, stage, this->tried, this->state.settings.zone, now);
    auto choice = choose(candidates);
    if (!choice) {
        candidates = this->state.sampleOutside(this->service, stage, this->tried, now);
        choice = choose(candidates);
    }
    if (!choice) {
        return false;
    }
    const PlacementCandidate &chosen = candidates[*choice];
    this->engine = chosen.server;
    this->reservation = std::make_unique<WorkReservation>(this->state.work, chosen.server.id, this->decodeWork());
    this->chosen = chosen;
    this->choices = candidates.size();
    return true;
}

boost::asio::awaitable<void> StreamRun::prefill()
{
    const double tokens = double(std::max<std::int64_t>(1, this->request.promptTokens));
    const auto candidates =
        this->state.candidates(this->service, EngineStage::Prefill, {}, this->engine->zone, Clock::now());
    const auto choice = Placement::choosePrefill(candidates, tokens, [this] { return this->state.random(); });
    if (!choice || candidates[*choice].avoided) {
        co_return;
    }
    const PlacementCandidate &chosen = candidates[*choice];
    const double pace = chosen.expectedPace();
    const double ahead = double(chosen.work.promptTokens);
    const Millis expected{std::int64_t((ahead + tokens) * pace)};
    const Millis direct{std::int64_t(tokens * pace * DirectReadFactor)};
    const Millis longWait{std::int64_t(double(this->route.targetLatency.count()) * LongPrefillShare)};
    const bool useful = expected <= std::max(direct, longWait);
    LogLine("placement")
        .add("request", this->request.id)
        .add("stage", "prefill")
        .add("candidates", std::int64_t(candidates.size()))
        .add("backend", chosen.server.id)
        .add("prompt_tokens_ahead", chosen.work.promptTokens)
        .add("expected_ms", std::int64_t(expected.count()))
        .add("used", useful)
        .write();
    if (!useful) {
        co_return;
    }
    const BackendServer server = chosen.server;
    const WorkReservation reading(this->state.work, server.id, BackendWork{1, this->request.promptTokens, 0});
    const bool open = co_await this->openLink(server, false);
    if (!open || this->isOver() || !this->state.isUsable(server)) {
        co_return;
    }
    BackendCall call;
    call.stage = EngineStage::Prefill;
    this->send(server, call);
    const TimePoint begun = Clock::now();
    const Millis patience = std::clamp(Millis(std::int64_t(double(expected.count()) * PrefillPatience)),
                                       LeastPrefillPatience, MostPrefillPatience);
    const TimePoint until = std::min(this->deadline, begun + patience);
    const LinkStatus status = co_await this->readOwnAnswer(server.id, until);
    if (this->session.isCallerGone()) {
        co_return;
    }
    if (status == LinkStatus::Ok && this->link->status() == 200) {
        this->memory = this->wire.decodePrefill(this->link->takeBody());
    }
    if (this->memory) {
        --this->arrivals; // The first prefill call that is accepted is not counted as a retry.
        this->reader = server;
        this->state.health.addPrefillPace(server.id, toSeconds(Clock::now() - begun) * 1000 / (ahead + tokens));
        this->note(server, CallOutcome::Served);
        this->giveBack(server);
        co_return;
    }
    const bool rejected = status == LinkStatus::Ok && this->answer.notExecuted;
    this->failure = rejected ? "prefill-rejected" : "prefill-failed";
    this->note(server, rejected ? CallOutcome::Rejected : CallOutcome::Broken);
    if (status == LinkStatus::Broken) {
        this->checkCrash(server);
    }
    this->sends += rejected && !this->answer.wrongBackend ? 1 : 0;
    this->link->close();
    LogLine("prefill-failed")
        .add("request", this->request.id)
        .add("backend", server.id)
        .add("reason", this->failure)
        .add("ms", std::int64_t(toSeconds(Clock::now() - begun) * 1000))
        .write();
}

boost::asio::awaitable<StreamRun::Step> StreamRun::decode()
{
    const BackendServer server = *this->engine;
    const bool open = co_await this->openLink(server, !this->route.mayRepeat());
    if (!open) {
        this->failure = "unreachable";
        co_return Step::Unreachable;
    }
    if (this->isOver() || !this->state.isUsable(server)) {
        this->failure = "engine-left";
        this->tried.insert(server.id);
        co_return Step::Unreachable;
    }
    BackendCall call;
    call.stage = EngineStage::Decode;
    call.resumeAfter = this->lastEvent;
    if (this->memory) {
        call.memoryAddress = this->reader->address;
        call.memoryHandle = this->memory->handle;
    }
    this->memory = std::nullopt;
    call.hold = std::exchange(this->hold, std::string());
    this->tried.insert(server.id);
    ++this->sends;
    this->send(server, call);
    this->progress = std::make_shared<StreamProgress>();
    if (this->route.mayRepeat() && this->mayUseAnother()) {
        const Millis stall = std::max(LeastStall, this->route.gapTarget * StallFactor);
        boost::asio::co_spawn(this->state.executor, watchProgress(this->state, this->link, this->progress, stall),
                              boost::asio::detached);
    }
    const Step step = co_await this->readAnswer(server);
    this->progress->finished = true;
    co_return step;
}

boost::asio::awaitable<StreamRun::Step> StreamRun::readAnswer(BackendServer server)
{
    const TimePoint until = this->deadline;
    const LinkStatus status = co_await this->readOwnHead(server.id, until);
    if (status != LinkStatus::Ok) {
        this->mayHaveRun = true;
        this->endBroken(server, status);
        co_return Step::MayHaveRun;
    }
    if (this->answer.notExecuted) {
        this->failure = this->answer.wrongBackend ? "wrong-backend" : "rejected";
        this->note(server, CallOutcome::Rejected);
        co_await this->link->readRest(until);
        this->giveBack(server);
        co_return Step::NotRun;
    }
    this->mayHaveRun = true;
    const int code = this->link->status();
    if (code == 200 && this->answer.signedAnswer && !this->answer.encoded) {
        co_return co_await this->relay();
    }
    const LinkStatus rest = co_await this->link->readRest(until);
    const bool whole = this->isWhole(rest);
    this->failure = whole ? "status-" + std::to_string(code) : "malformed";
    this->note(server, !whole || code >= 500 ? CallOutcome::Failed : CallOutcome::Served);
    const bool again = this->route.mayRepeat() && (code >= 500 || !whole) && this->mayUseAnother();
    if (!whole || claimsNotRun(code) || this->session.isAnswered() || (again && this->mayArrive())) {
        this->link->close();
        co_return Step::MayHaveRun;
    }
    co_await this->passOn(this->link->takeBody());
    this->giveBack(server);
    co_return Step::Done;
}

boost::asio::awaitable<StreamRun::Step> StreamRun::relay()
{
    const BackendServer server = *this->engine;
    this->cutter = EventCutter();
    if (!this->session.isAnswered()) {
        co_await this->session.startStream(200, this->link->reason(), this->link->headers());
    }
    LinkStatus status = LinkStatus::Ok;
    bool inOrder = true;
    while (status == LinkStatus::Ok && inOrder && !this->session.isCallerGone()) {
        inOrder = co_await this->passOnEvents(this->link->takeBody());
        if (this->link->isComplete()) {
            break;
        }
        status = co_await this->link->readSome(this->deadline);
    }
    if (this->session.isCallerGone()) {
        this->failure = "caller-gone";
        co_return Step::MayHaveRun;
    }
    if (status == LinkStatus::Ok && inOrder && !this->cutter.hasRest()) {
        co_await this->session.endStream();
        this->note(server, CallOutcome::Served);
        this->outcome = "streamed";
        this->giveBack(server);
        co_return Step::Done;
    }
    this->endBroken(server, status);
    if (!inOrder && status != LinkStatus::TimedOut) {
        this->failure = "out-of-order";
    }
    LogLine("stream-broken")
        .add("request", this->request.id)
        .add("backend", server.id)
        .add("reason", this->failure)
        .add("last_event", this->lastEvent.value_or(-1))
        .write();
    co_return Step::MayHaveRun;
}

boost::asio::awaitable<bool> StreamRun::passOnEvents(const std::string &bytes)
{
    std::string whole;
    for (EventCutter::Event &event : this->cutter.feed(bytes)) {
        if (event.id) {
            if (this->lastEvent && *event.id <= *this->lastEvent) {
                co_return false;
            }
            this->lastEvent = event.id;
        }
        whole += event.text;
    }
    if (!whole.empty()) {
        this->notePart();
        co_await this->session.sendPart(std::move(whole));
    }
    co_return !this->cutter.isOverlong();
}

void StreamRun::notePart()
{
    const TimePoint now = Clock::now();
    if (!this->firstPart) {
        this->firstPart = std::chrono::duration_cast<Millis>(now - this->request.received);
    } else {
        this->longestPause = std::max(this->longestPause, std::chrono::duration_cast<Millis>(now - this->lastPart));
    }
    this->lastPart = now;
    this->progress->last = now;
}

void StreamRun::releaseMemory()
{
    if (!this->memory) {
        return;
    }
    this->callAndForget(this->reader->address, this->wire.releaseCall(this->memory->handle));
    this->memory = std::nullopt;
}

BackendWork StreamRun::decodeWork() const
{
    const std::int64_t output = this->request.likelyOutputTokens > 0 && this->request.maxOutputTokens > 0
        ? std::min(this->request.likelyOutputTokens, this->request.maxOutputTokens)
        : this->request.maxOutputTokens;
    return BackendWork{1, 0, this->request.promptTokens + output};
}

}
