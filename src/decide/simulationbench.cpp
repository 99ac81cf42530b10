#include "simulationbench.h"

namespace Cyclamen
{

namespace
{

constexpr int Entries = 16;
constexpr std::uint32_t Slots = 20;
constexpr double ReportMs = 250; // period and lag of reports
constexpr double NetworkDelayMs = 0.5; // one way
constexpr double ResultLifetimeMs = 800; // a prefill result that is not decoded by then is evicted
constexpr double OutputMs = 30; // time per output token
constexpr double PrefillSpeed = 100000; // tokens per second and engine
constexpr double DeadFromMs = 20120; // between two reports
constexpr double DeadToMs = 30000;
constexpr std::uint64_t SharedTokens = 2000; // length of a common prefix
constexpr std::size_t CachedPrefixes = 8; // per engine

}

Simulation::Simulation(const Scenario &scenario, std::uint64_t seed)
    : scenario(scenario)
    , random(seed)
    , cachedLoads(Entries)
{
    for (std::size_t i = 0; i < scenario.decodeEngines + scenario.prefillEngines; ++i) {
        const bool isDecode = i < scenario.decodeEngines;
        Backend backend;
        backend.address = std::to_string(i);
        (isDecode ? this->decodes : this->prefills).push_back(backend);
        this->engines.emplace_back(backend.address, isDecode ? Slots : 0U);
        this->engineIndex[backend.address] = i;
    }
    for (int entry = 0; entry < Entries; ++entry) {
        this->budgets.emplace_back(0.2);
        this->slotShares.emplace_back(scenario.decodeEngines, Slots / Entries);
        // The remainder of the division is spread over the entries.
        for (std::size_t i = 0; i < scenario.decodeEngines; ++i) {
            const auto position = (static_cast<std::size_t>(entry) + i * (Slots % Entries)) % Entries;
            this->slotShares.back()[i] += position < Slots % Entries ? 1 : 0;
        }
    }
    this->totals.goodBySecond.resize(static_cast<std::size_t>(ArrivalEndMs / 1000) + 10);
}

Totals Simulation::run(std::uint64_t seed)
{
    std::mt19937_64 arrivalsRandom(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double perMs = this->scenario.load * static_cast<double>(this->scenario.decodeEngines) * Slots / 3300.0;
    for (double at = 0; at < ArrivalEndMs;) {
        at += -std::log(1 - uniform(arrivalsRandom)) / perMs;
        auto request = std::make_shared<Request>();
        request->id = "e.1." + std::to_string(++this->lastId);
        request->arrival = request->sent = at;
        request->entry = static_cast<int>(uniform(arrivalsRandom) * Entries);
        request->tokens = static_cast<std::uint64_t>(20 * std::pow(1500, uniform(arrivalsRandom)));
        request->decodeMs = OutputMs * (20 + 180 * uniform(arrivalsRandom));
        const double prefixDraw = uniform(arrivalsRandom);
        const int prefix = static_cast<int>(uniform(arrivalsRandom) * 40);
        if (prefixDraw < this->scenario.sharedPrefixes) {
            request->prefix = prefix;
            request->tokens += SharedTokens;
        }
        this->scheduleAt(at, [this, request] {
            this->totals.arrivals += this->isCounted(*request) ? 1 : 0;
            this->budgets[request->entry].addFresh();
            this->attempt(request);
        });
    }
    for (double at = 0; at < ArrivalEndMs; at += ReportMs) {
        this->scheduleAt(at, [this] { this->reportAll(); });
    }
    while (!this->events.empty()) {
        const auto next = this->events.begin();
        this->now = next->first;
        const auto action = std::move(next->second);
        this->events.erase(next);
        action();
    }
    return this->totals;
}

TimePoint Simulation::currentTime() const
{
    return TimePoint(Micros(static_cast<std::int64_t>((this->now + 1e6) * 1000)));
}

bool Simulation::isDead(std::size_t engine) const
{
    return this->scenario.retryStorm && engine < 2 && this->now >= DeadFromMs && this->now < DeadToMs;
}

EngineLoad Simulation::trueLoad(Engine &engine) const
{
    std::erase_if(engine.ends, [this](double end) { return end <= this->now; });
    const double queued = std::max(0.0, engine.busyUntil - this->now) * PrefillSpeed / 1000;
    return {engine.address,
            engine.slots,
            static_cast<std::uint32_t>(engine.held.size()),
            static_cast<std::uint64_t>(queued),
            engine.slots == 0 ? PrefillSpeed : 0,
            this->currentTime()};
}

void Simulation::reportAll()
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        Engine &engine = this->engines[i];
        if (this->isDead(i)) {
            engine.held.clear();
            engine.scheduler.setUnreachable();
            engine.reportedLoad =
                std::exchange(engine.latestLoad, {engine.address, engine.slots, engine.slots, 0, 0, {}});
            continue;
        }
        engine.reportedLoad = std::exchange(engine.latestLoad, this->trueLoad(engine));
        EngineLoad load = engine.reportedLoad.slots + engine.reportedLoad.tokensPerSecond > 0 ? engine.reportedLoad
                                                                                              : engine.latestLoad;
        load.known = this->currentTime();
        if (std::fmod(this->now, 4 * ReportMs) == 0) {
            engine.scheduler.applyReport(load, {engine.held.begin(), engine.held.end()}, this->currentTime());
        } else {
            engine.scheduler.applyLoad(load, this->currentTime());
        }
        this->processDecisions(i);
    }
}

void Simulation::processDecisions(std::size_t i)
{
    Engine &engine = this->engines[i];
    for (const auto &decision : engine.scheduler.decide(this->currentTime())) {
        const auto handler = this->replyHandlers.find(decision.request.requestId + engine.address);
        if (handler != this->replyHandlers.end()) {
            auto [entry, reply] = std::move(handler->second);
            this->replyHandlers.erase(handler);
            this->cachedLoads[entry][engine.address] = {engine.scheduler.load(this->currentTime()), this->now};
            this->scheduleIn(NetworkDelayMs,
                             [reply = std::move(reply), ok = decision.grant.has_value()] { reply(ok); });
        }
    }
    const auto next = engine.scheduler.nextDeadline(this->currentTime());
    if (next && (engine.nextWake <= this->now || *next < this->currentTime() + toMillis(engine.nextWake - this->now))) {
        engine.nextWake = this->now + std::chrono::duration<double, std::milli>(*next - this->currentTime()).count();
        this->scheduleAt(engine.nextWake, [this, i] { this->processDecisions(i); });
    }
}

void Simulation::requestSlot(const RequestPtr &request, const std::string &address, std::uint64_t tokens,
                             double maxWait, const std::function<void(bool)> &reply)
{
    const SlotAsk slotRequest{
        request->id, address, "w", 1, tokens > 0 ? 0U : 1U, tokens, toMillis(maxWait), ++this->lastSlotRequest};
    this->scheduleIn(NetworkDelayMs, [this, slotRequest, request, reply] {
        const std::size_t i = this->engineIndex.at(slotRequest.engine);
        this->replyHandlers[slotRequest.requestId + slotRequest.engine] = {request->entry, reply};
        this->engines[i].scheduler.submit(slotRequest, this->currentTime());
        this->processDecisions(i);
    });
}

void Simulation::releaseGrant(const Request &request, std::size_t i)
{
    this->scheduleIn(NetworkDelayMs, [this, id = request.id, i] {
        this->engines[i].scheduler.release(id, this->currentTime());
        this->processDecisions(i);
    });
}

LoadLookup Simulation::lookup(int entry, bool isFresh)
{
    return [this, entry, isFresh](const std::string &address) -> std::optional<EngineLoad> {
        Engine &engine = this->engines[this->engineIndex.at(address)];
        if (isFresh) {
            return this->trueLoad(engine);
        }
        if (this->scenario.slotPolicy != SlotPolicy::Owner) {
            return engine.reportedLoad;
        }
        const auto known = this->cachedLoads[entry].find(address);
        const bool isOld = known == this->cachedLoads[entry].end() || this->now - known->second.second > 1000;
        return isOld ? std::nullopt : std::optional(known->second.first);
    };
}

RankedEngine Simulation::choosePrefill(const Request &request)
{
    const auto load = this->lookup(request.entry, this->scenario.exactPrefillLoad);
    std::optional<std::string> hint;
    if (this->scenario.ranking >= PrefillRanking::FixedHint && request.prefix >= 0
        && this->hints.contains(request.prefix)) {
        hint = this->hints[request.prefix];
    }
    auto ranked = rankPrefill(this->prefills, load, request.tokens, hint, this->random);
    if (this->scenario.ranking == PrefillRanking::RequestCount) {
        std::stable_sort(ranked.begin(), ranked.end(), [this](const RankedEngine &a, const RankedEngine &b) {
            return this->engines[this->engineIndex.at(a.engine.address)].ends.size()
                < this->engines[this->engineIndex.at(b.engine.address)].ends.size();
        });
    } else if (this->scenario.ranking == PrefillRanking::KnownHit) {
        for (RankedEngine &engine : ranked) {
            engine.costMs -= engine.prefixHit ? (SharedTokens - 64) / PrefillSpeed * 1000 : 0;
        }
        std::stable_sort(ranked.begin(), ranked.end(), [](const RankedEngine &a, const RankedEngine &b) {
            return a.expectedWaitMs + a.costMs < b.expectedWaitMs + b.costMs;
        });
    }
    return ranked.front();
}

void Simulation::attempt(const RequestPtr &request)
{
    ++request->attempts;
    this->totals.attempts += 1;
    request->reserved = false;
    const RankedEngine best = this->choosePrefill(*request);
    const auto admission = admit(best, Millis(5), toMillis(this->now - request->sent), Millis(420), 0.5);
    if (!admission.admitted) {
        this->fail(request);
    } else if (this->scenario.reserveSlotFirst) {
        this->reserve(request, this->timeLeft(*request) - static_cast<double>(admission.expected.count()),
                      [this, request](bool ok) { ok ? this->prefill(request) : this->fail(request); });
    } else {
        this->prefill(request);
    }
}

void Simulation::reserve(const RequestPtr &request, double maxWait, const std::function<void(bool)> &done)
{
    const auto ranked = rankDecode(this->decodes, this->lookup(request->entry, false), "", this->random);
    if (this->scenario.slotPolicy == SlotPolicy::DelayedReports) {
        const std::size_t i = this->engineIndex.at(ranked.front().engine.address);
        request->decode = i;
        const bool seemsFree = this->engines[i].reportedLoad.held < this->engines[i].reportedLoad.slots;
        if (seemsFree || maxWait <= 0) {
            done(seemsFree);
        } else {
            this->scheduleIn(25, [this, request, maxWait, done] { this->reserve(request, maxWait - 25, done); });
        }
    } else if (this->scenario.slotPolicy == SlotPolicy::StaticSplit) {
        auto &share = this->slotShares[request->entry];
        const auto most = std::max_element(share.begin(), share.end());
        if (*most > 0) {
            --*most;
            request->decode = static_cast<std::size_t>(most - share.begin());
            request->reserved = true;
            done(true);
        } else if (maxWait <= 0) {
            done(false);
        } else {
            this->scheduleIn(5, [this, request, maxWait, done] { this->reserve(request, maxWait - 5, done); });
        }
    } else {
        const std::string first = ranked.front().engine.address;
        const std::string second = ranked[1].engine.address;
        const auto take = [this, request, done](const std::string &address) {
            request->decode = this->engineIndex.at(address);
            request->reserved = true;
            done(true);
        };
        // As in the router: a free slot is requested from two engines in turn, then the request queues at the first.
        this->requestSlot(request, first, 0, 5, [=, this](bool ok) {
            ok ? take(first) : this->requestSlot(request, second, 0, 5, [=, this](bool ok2) {
                ok2 ? take(second)
                    : this->requestSlot(request, first, 0, maxWait, [=](bool ok3) { ok3 ? take(first) : done(false); });
            });
        });
    }
}

void Simulation::releaseReservation(const Request &request)
{
    if (request.reserved && this->scenario.slotPolicy == SlotPolicy::StaticSplit) {
        ++this->slotShares[request.entry][request.decode];
    } else if (request.reserved) {
        this->releaseGrant(request, request.decode);
    }
}

void Simulation::prefill(const RequestPtr &request)
{
    const RankedEngine best = this->choosePrefill(*request);
    const std::size_t i = this->engineIndex.at(best.engine.address);
    if (this->scenario.slotPolicy != SlotPolicy::Owner || this->scenario.exactPrefillLoad) {
        this->runPrefill(request, i);
        return;
    }
    const double spare = this->timeLeft(*request) - 5 - best.costMs;
    this->requestSlot(request, best.engine.address, request->tokens, spare, [this, request, i](bool ok) {
        if (ok) {
            this->runPrefill(request, i);
        } else {
            this->releaseReservation(*request);
            this->fail(request);
        }
    });
}

void Simulation::runPrefill(const RequestPtr &request, std::size_t i)
{
    Engine &engine = this->engines[i];
    std::uint64_t tokens = request->tokens;
    if (request->prefix >= 0) {
        tokens -= std::erase(engine.cached, request->prefix) > 0 ? SharedTokens : 0;
        engine.cached.push_back(request->prefix);
        if (engine.cached.size() > CachedPrefixes) {
            engine.cached.erase(engine.cached.begin());
        }
        this->hints[request->prefix] = engine.address;
    }
    engine.busyUntil = std::max(this->now, engine.busyUntil) + static_cast<double>(tokens) / PrefillSpeed * 1000;
    engine.ends.push_back(engine.busyUntil);
    this->scheduleAt(engine.busyUntil, [this, request, i] {
        this->totals.prefills += this->isCounted(*request) ? 1 : 0;
        this->releaseGrant(*request, i);
        const double evictedAt = this->now + ResultLifetimeMs;
        this->scheduleIn(5, [this, request, evictedAt] { this->afterPrefill(request, evictedAt); });
    });
}

void Simulation::afterPrefill(const RequestPtr &request, double evictedAt)
{
    if (this->scenario.reserveSlotFirst) {
        this->decode(request, evictedAt);
        return;
    }
    this->reserve(request, evictedAt - this->now, [this, request, evictedAt](bool ok) {
        ok ? this->decode(request, evictedAt) : this->failAfterPrefill(request);
    });
}

void Simulation::failAfterPrefill(const RequestPtr &request)
{
    this->totals.wasted += this->isCounted(*request) ? 1 : 0;
    this->releaseReservation(*request);
    this->fail(request);
}

void Simulation::decode(const RequestPtr &request, double evictedAt)
{
    Engine &engine = this->engines[request->decode];
    const bool isFull = engine.held.size() >= Slots;
    if (this->isDead(request->decode) || this->now > evictedAt) {
        this->failAfterPrefill(request);
        return;
    }
    if (isFull) {
        this->totals.rejected += this->isCounted(*request) ? 1 : 0;
        if (this->scenario.slotPolicy != SlotPolicy::DelayedReports) {
            this->failAfterPrefill(request);
            return;
        }
        // Without owners, random engines are tried until the prefill result is evicted.
        request->decode = this->random() % this->decodes.size();
        this->scheduleIn(10, [this, request, evictedAt] { this->decode(request, evictedAt); });
        return;
    }
    engine.held.insert(request->id);
    const double first = this->now + OutputMs;
    this->scheduleIn(request->decodeMs, [this, request, first] {
        const bool isBroken = this->engines[request->decode].held.erase(request->id) == 0;
        this->releaseReservation(*request);
        if (!isBroken && this->isCounted(*request)) {
            const bool isGood = first - request->sent <= TargetMs;
            (isGood ? this->totals.good : this->totals.late) += 1;
            this->totals.goodBySecond[static_cast<std::size_t>(request->sent / 1000)] += isGood ? 1 : 0;
        }
    });
}

void Simulation::fail(const RequestPtr &request)
{
    const bool canRetry = this->scenario.retryStorm && request->attempts < 4 && this->timeLeft(*request) > 0;
    if (canRetry && !this->scenario.retryBudget) {
        this->scheduleIn(NetworkDelayMs, [this, request] { this->retry(request); });
    } else if (canRetry && this->budgets[request->entry].takeRetry()) {
        this->scheduleIn(static_cast<double>(backoffDelay(request->attempts, this->random).count()),
                         [this, request] { this->retry(request); });
    } else if (this->scenario.retryStorm && request->resends < 3) {
        // The caller resends the request after the time in Retry-After, with jitter.
        ++request->resends;
        this->scheduleIn(200 + static_cast<double>(this->random() % 200), [this, request] {
            request->attempts = 0;
            request->sent = this->now;
            this->retry(request);
        });
    } else {
        this->totals.refused += this->isCounted(*request) ? 1 : 0;
    }
}

void Simulation::retry(const RequestPtr &request)
{
    request->id = "e.1." + std::to_string(++this->lastId);
    this->attempt(request);
}

}
