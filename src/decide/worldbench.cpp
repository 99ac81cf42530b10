#include "worldbench.h"

namespace Cyclamen
{

namespace
{

constexpr int Entries = 16;
constexpr std::uint32_t Slots = 20;
constexpr double ReportMs = 250; // period of reports, and their lag
constexpr double OneWayMs = 0.5;
constexpr double EvictMs = 800;
constexpr double OutputMs = 30;
constexpr double Speed = 100000; // prefill tokens per second and engine
constexpr double DeadFromMs = 20120; // between two reports
constexpr double DeadToMs = 30000;
constexpr std::uint64_t SharedTokens = 2000;
constexpr std::size_t CachedPrefixes = 8; // per engine

}

World::World(const Setup &setup, std::uint64_t seed)
    : setup(setup)
    , random(seed)
    , learned(Entries)
{
    for (std::size_t i = 0; i < setup.decodeEngines + setup.prefillEngines; ++i) {
        const bool isDecode = i < setup.decodeEngines;
        Backend backend;
        backend.address = std::to_string(i);
        (isDecode ? this->decodes : this->prefills).push_back(backend);
        this->engines.emplace_back(backend.address, isDecode ? Slots : 0U);
        this->index[backend.address] = i;
    }
    for (int entry = 0; entry < Entries; ++entry) {
        this->budgets.emplace_back(0.2);
        this->shares.emplace_back(setup.decodeEngines, Slots / Entries);
        // The slots left over go to the entries in turn.
        for (std::size_t i = 0; i < setup.decodeEngines; ++i) {
            const auto turn = (static_cast<std::size_t>(entry) + i * (Slots % Entries)) % Entries;
            this->shares.back()[i] += turn < Slots % Entries ? 1 : 0;
        }
    }
    this->totals.goodBySecond.resize(static_cast<std::size_t>(EndMs / 1000) + 10);
}

Totals World::run(std::uint64_t seed)
{
    std::mt19937_64 arrivalsRandom(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double perMs = this->setup.load * static_cast<double>(this->setup.decodeEngines) * Slots / 3300.0;
    for (double at = 0; at < EndMs;) {
        at += -std::log(1 - uniform(arrivalsRandom)) / perMs;
        auto request = std::make_shared<Request>();
        request->id = "e.1." + std::to_string(++this->lastId);
        request->arrival = request->sent = at;
        request->entry = static_cast<int>(uniform(arrivalsRandom) * Entries);
        request->tokens = static_cast<std::uint64_t>(20 * std::pow(1500, uniform(arrivalsRandom)));
        request->decodeMs = OutputMs * (20 + 180 * uniform(arrivalsRandom));
        const double known = uniform(arrivalsRandom);
        const int prefix = static_cast<int>(uniform(arrivalsRandom) * 40);
        if (known < this->setup.sharedPrefixes) {
            request->prefix = prefix;
            request->tokens += SharedTokens;
        }
        this->at(at, [this, request] {
            this->totals.arrivals += this->isCounted(*request) ? 1 : 0;
            this->budgets[request->entry].addFresh();
            this->attempt(request);
        });
    }
    for (double at = 0; at < EndMs; at += ReportMs) {
        this->at(at, [this] { this->reportAll(); });
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

TimePoint World::clock() const
{
    return TimePoint(Micros(static_cast<std::int64_t>((this->now + 1e6) * 1000)));
}

bool World::isDead(std::size_t engine) const
{
    return this->setup.storm && engine < 2 && this->now >= DeadFromMs && this->now < DeadToMs;
}

EngineLoad World::trueLoad(Engine &engine) const
{
    std::erase_if(engine.ends, [this](double end) { return end <= this->now; });
    const double queued = std::max(0.0, engine.busyUntil - this->now) * Speed / 1000;
    return {engine.address,
            engine.slots,
            static_cast<std::uint32_t>(engine.held.size()),
            static_cast<std::uint64_t>(queued),
            engine.slots == 0 ? Speed : 0,
            this->clock()};
}

void World::reportAll()
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        Engine &engine = this->engines[i];
        if (this->isDead(i)) {
            engine.held.clear();
            engine.ledger.setUnreachable();
            engine.visible = std::exchange(engine.measured, {engine.address, engine.slots, engine.slots, 0, 0, {}});
            continue;
        }
        engine.visible = std::exchange(engine.measured, this->trueLoad(engine));
        EngineLoad load = engine.visible.slots + engine.visible.tokensPerSecond > 0 ? engine.visible : engine.measured;
        load.known = this->clock();
        if (std::fmod(this->now, 4 * ReportMs) == 0) {
            engine.ledger.report(load, {engine.held.begin(), engine.held.end()}, this->clock());
        } else {
            engine.ledger.reportLoad(load, this->clock());
        }
        this->settle(i);
    }
}

void World::settle(std::size_t i)
{
    Engine &engine = this->engines[i];
    for (const auto &decision : engine.ledger.decide(this->clock())) {
        const auto waiter = this->waiters.find(decision.ask.requestId + engine.address);
        if (waiter != this->waiters.end()) {
            auto [entry, reply] = std::move(waiter->second);
            this->waiters.erase(waiter);
            this->learned[entry][engine.address] = {engine.ledger.load(this->clock()), this->now};
            this->in(OneWayMs, [reply = std::move(reply), ok = decision.grant.has_value()] { reply(ok); });
        }
    }
    const auto next = engine.ledger.nextDeadline(this->clock());
    if (next && (engine.wake <= this->now || *next < this->clock() + millis(engine.wake - this->now))) {
        engine.wake = this->now + std::chrono::duration<double, std::milli>(*next - this->clock()).count();
        this->at(engine.wake, [this, i] { this->settle(i); });
    }
}

void World::askOwner(const RequestPtr &request, const std::string &address, std::uint64_t tokens, double maxWait,
                     const std::function<void(bool)> &reply)
{
    const SlotAsk ask{request->id, address, "w", 1, tokens > 0 ? 0U : 1U, tokens, millis(maxWait), ++this->lastAsk};
    this->in(OneWayMs, [this, ask, request, reply] {
        const std::size_t i = this->index.at(ask.engine);
        this->waiters[ask.requestId + ask.engine] = {request->entry, reply};
        this->engines[i].ledger.ask(ask, this->clock());
        this->settle(i);
    });
}

void World::releaseOwner(const Request &request, std::size_t i)
{
    this->in(OneWayMs, [this, id = request.id, i] {
        this->engines[i].ledger.release(id, this->clock());
        this->settle(i);
    });
}

LoadLookup World::lookup(int entry, bool isFresh)
{
    return [this, entry, isFresh](const std::string &address) -> std::optional<EngineLoad> {
        Engine &engine = this->engines[this->index.at(address)];
        if (isFresh) {
            return this->trueLoad(engine);
        }
        if (this->setup.grants != Grants::Owner) {
            return engine.visible;
        }
        const auto known = this->learned[entry].find(address);
        const bool isOld = known == this->learned[entry].end() || this->now - known->second.second > 1000;
        return isOld ? std::nullopt : std::optional(known->second.first);
    };
}

RankedEngine World::choosePrefill(const Request &request)
{
    const auto load = this->lookup(request.entry, this->setup.freshPrefillState);
    std::optional<std::string> hint;
    if (this->setup.rank >= Rank::Hint && request.prefix >= 0 && this->hints.contains(request.prefix)) {
        hint = this->hints[request.prefix];
    }
    auto ranked = rankPrefill(this->prefills, load, request.tokens, hint, this->random);
    if (this->setup.rank == Rank::Count) {
        std::stable_sort(ranked.begin(), ranked.end(), [this](const RankedEngine &a, const RankedEngine &b) {
            return this->engines[this->index.at(a.engine.address)].ends.size()
                < this->engines[this->index.at(b.engine.address)].ends.size();
        });
    } else if (this->setup.rank == Rank::KnownHit) {
        for (RankedEngine &engine : ranked) {
            engine.costMs -= engine.prefixHit ? (SharedTokens - 64) / Speed * 1000 : 0;
        }
        std::stable_sort(ranked.begin(), ranked.end(), [](const RankedEngine &a, const RankedEngine &b) {
            return a.expectedWaitMs + a.costMs < b.expectedWaitMs + b.costMs;
        });
    }
    return ranked.front();
}

void World::attempt(const RequestPtr &request)
{
    ++request->attempts;
    this->totals.attempts += 1;
    request->reserved = false;
    const RankedEngine best = this->choosePrefill(*request);
    const auto admission = admit(best, Millis(5), millis(this->now - request->sent), Millis(420), 0.5);
    if (!admission.admitted) {
        this->fail(request);
    } else if (this->setup.slotFirst) {
        this->reserve(request, this->left(*request) - static_cast<double>(admission.expected.count()),
                      [this, request](bool ok) { ok ? this->prefill(request) : this->fail(request); });
    } else {
        this->prefill(request);
    }
}

void World::reserve(const RequestPtr &request, double longest, const std::function<void(bool)> &done)
{
    const auto ranked = rankDecode(this->decodes, this->lookup(request->entry, false), "", this->random);
    if (this->setup.grants == Grants::Lagging) {
        const std::size_t i = this->index.at(ranked.front().engine.address);
        request->decode = i;
        const bool seemsFree = this->engines[i].visible.held < this->engines[i].visible.slots;
        if (seemsFree || longest <= 0) {
            done(seemsFree);
        } else {
            this->in(25, [this, request, longest, done] { this->reserve(request, longest - 25, done); });
        }
    } else if (this->setup.grants == Grants::Split) {
        auto &share = this->shares[request->entry];
        const auto most = std::max_element(share.begin(), share.end());
        if (*most > 0) {
            --*most;
            request->decode = static_cast<std::size_t>(most - share.begin());
            request->reserved = true;
            done(true);
        } else if (longest <= 0) {
            done(false);
        } else {
            this->in(5, [this, request, longest, done] { this->reserve(request, longest - 5, done); });
        }
    } else {
        const std::string first = ranked.front().engine.address;
        const std::string second = ranked[1].engine.address;
        const auto take = [this, request, done](const std::string &address) {
            request->decode = this->index.at(address);
            request->reserved = true;
            done(true);
        };
        // As in the request path: two engines are asked for a free slot, then the request queues at the first.
        this->askOwner(request, first, 0, 5, [=, this](bool ok) {
            ok ? take(first) : this->askOwner(request, second, 0, 5, [=, this](bool ok2) {
                ok2 ? take(second)
                    : this->askOwner(request, first, 0, longest, [=](bool ok3) { ok3 ? take(first) : done(false); });
            });
        });
    }
}

void World::unreserve(const Request &request)
{
    if (request.reserved && this->setup.grants == Grants::Split) {
        ++this->shares[request.entry][request.decode];
    } else if (request.reserved) {
        this->releaseOwner(request, request.decode);
    }
}

void World::prefill(const RequestPtr &request)
{
    const RankedEngine best = this->choosePrefill(*request);
    const std::size_t i = this->index.at(best.engine.address);
    if (this->setup.grants != Grants::Owner || this->setup.freshPrefillState) {
        this->runPrefill(request, i);
        return;
    }
    const double spare = this->left(*request) - 5 - best.costMs;
    this->askOwner(request, best.engine.address, request->tokens, spare, [this, request, i](bool ok) {
        if (ok) {
            this->runPrefill(request, i);
        } else {
            this->unreserve(*request);
            this->fail(request);
        }
    });
}

void World::runPrefill(const RequestPtr &request, std::size_t i)
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
    engine.busyUntil = std::max(this->now, engine.busyUntil) + static_cast<double>(tokens) / Speed * 1000;
    engine.ends.push_back(engine.busyUntil);
    this->at(engine.busyUntil, [this, request, i] {
        this->totals.prefills += this->isCounted(*request) ? 1 : 0;
        this->releaseOwner(*request, i);
        const double evicted = this->now + EvictMs;
        this->in(5, [this, request, evicted] { this->afterPrefill(request, evicted); });
    });
}

void World::afterPrefill(const RequestPtr &request, double evicted)
{
    if (this->setup.slotFirst) {
        this->decode(request, evicted);
        return;
    }
    this->reserve(request, evicted - this->now,
                  [this, request, evicted](bool ok) { ok ? this->decode(request, evicted) : this->waste(request); });
}

void World::waste(const RequestPtr &request)
{
    this->totals.wasted += this->isCounted(*request) ? 1 : 0;
    this->unreserve(*request);
    this->fail(request);
}

void World::decode(const RequestPtr &request, double evicted)
{
    Engine &engine = this->engines[request->decode];
    const bool isFull = engine.held.size() >= Slots;
    if (this->isDead(request->decode) || this->now > evicted) {
        this->waste(request);
        return;
    }
    if (isFull) {
        this->totals.rejected += this->isCounted(*request) ? 1 : 0;
        if (this->setup.grants != Grants::Lagging) {
            this->waste(request);
            return;
        }
        // Without owners, another engine is tried at random until the result is evicted.
        request->decode = this->random() % this->decodes.size();
        this->in(10, [this, request, evicted] { this->decode(request, evicted); });
        return;
    }
    engine.held.insert(request->id);
    const double first = this->now + OutputMs;
    this->in(request->decodeMs, [this, request, first] {
        const bool isBroken = this->engines[request->decode].held.erase(request->id) == 0;
        this->unreserve(*request);
        if (!isBroken && this->isCounted(*request)) {
            const bool isGood = first - request->sent <= TargetMs;
            (isGood ? this->totals.good : this->totals.late) += 1;
            this->totals.goodBySecond[static_cast<std::size_t>(request->sent / 1000)] += isGood ? 1 : 0;
        }
    });
}

void World::fail(const RequestPtr &request)
{
    const bool canRetry = this->setup.storm && request->attempts < 4 && this->left(*request) > 0;
    if (canRetry && !this->setup.retryBudget) {
        this->in(OneWayMs, [this, request] { this->again(request); });
    } else if (canRetry && this->budgets[request->entry].takeRetry()) {
        this->in(static_cast<double>(backoffDelay(request->attempts, this->random).count()),
                 [this, request] { this->again(request); });
    } else if (this->setup.storm && request->resends < 3) {
        // The caller sends the request anew after the time in Retry-After, with jitter.
        ++request->resends;
        this->in(200 + static_cast<double>(this->random() % 200), [this, request] {
            request->attempts = 0;
            request->sent = this->now;
            this->again(request);
        });
    } else {
        this->totals.refused += this->isCounted(*request) ? 1 : 0;
    }
}

void World::again(const RequestPtr &request)
{
    request->id = "e.1." + std::to_string(++this->lastId);
    this->attempt(request);
}

}
