// The part of RouterState that handles what backend servers say of themselves.

#include "routerstate.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/backendresponsehead.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

std::string sourceName(StatementSource source)
{
    return source == StatementSource::OwnAnswer ? "own" : "peer";
}

}

void RouterState::recordStatements(const BackendServer &server, const BackendResponseHead &head, bool isStray,
                                   TimePoint now)
{
    if (!head.malformedStatement.empty()) {
        this->metrics.count("cyclamencross_malformed_statements_total", {{"header", head.malformedStatement}});
        if (this->statements.recordMalformed(server.id)) {
            LogLine("backend-statement-malformed")
                .add("backend", server.id)
                .add("header", head.malformedStatement)
                .warn();
        }
    }
    if (head.leaving && head.wrongBackend) {
        // Another instance has the address and is the one that leaves. Nothing can be reached there under other ids.
        std::vector<BackendServer> atAddress;
        this->backends.forEach([&](const std::string & /*id*/, const BackendServer &registered) {
            if (registered.address == server.address) {
                atAddress.push_back(registered);
            }
        });
        for (const BackendServer &registered : atAddress) {
            this->recordLeaving(registered, StatementSource::OwnAnswer, now);
        }
        return;
    }
    if (this->isEarlierIncarnation(server)) {
        return;
    }
    if (head.slowdown && !head.wrongBackend && !isStray) {
        this->recordSlowdown(server.id, *head.slowdown, now);
    }
    if (head.leaving && this->recordLeaving(server, StatementSource::OwnAnswer, now)) {
        this->reportStatement(server.id, now);
    }
    if (head.pause && !isStray && this->statements.recordPause(server, *head.pause, StatementSource::OwnAnswer, now)) {
        LogLine("backend-paused")
            .add("backend", server.id)
            .add("ms", std::int64_t(head.pause->count()))
            .add("kept_ms", std::int64_t(std::min(*head.pause, BackendStatements::MaxPause).count()))
            .write();
        this->metrics.count("cyclamencross_backend_pauses_total");
        this->reportStatement(server.id, now);
    }
}

void RouterState::recordSlowdown(const std::string &backend, double factor, TimePoint now)
{
    if (this->slowdowns.record(backend, factor, now, false)) {
        this->pendingSlowdowns[backend] = {factor, now};
    } else {
        this->pendingSlowdowns.erase(backend); // An earlier figure is not news any more.
    }
}

std::map<std::string, ToldSlowdown> RouterState::takeSlowdowns(TimePoint now)
{
    std::map<std::string, ToldSlowdown> result;
    std::erase_if(this->pendingSlowdowns,
                  [now](const auto &item) { return now - item.second.second > SlowdownTracker::MaxAge; });
    while (!this->pendingSlowdowns.empty() && result.size() < MaxReportedSlowdowns) {
        const auto newest = std::max_element(
            this->pendingSlowdowns.begin(), this->pendingSlowdowns.end(),
            [](const auto &left, const auto &right) { return left.second.second < right.second.second; });
        const auto &[factor, time] = newest->second;
        result[newest->first] = ToldSlowdown{factor, std::chrono::duration_cast<Millis>(now - time)};
        this->pendingSlowdowns.erase(newest);
    }
    return result;
}

void RouterState::applySlowdowns(const std::map<std::string, ToldSlowdown> &told, TimePoint now)
{
    if (told.size() > MaxReportedSlowdowns) {
        return; // No router sends that many.
    }
    for (const auto &[backend, slowdown] : told) {
        const bool isRecent = slowdown.age >= Millis(0) && slowdown.age <= SlowdownTracker::MaxAge;
        if (isRecent && this->backends.find(backend) != nullptr) {
            this->slowdowns.record(backend, slowdown.factor, now - slowdown.age, true);
        }
    }
}

bool RouterState::isEarlierIncarnation(const BackendServer &server) const
{
    const BackendServer *known = this->backends.find(server.id);
    if (known == nullptr) {
        return false;
    }
    const bool areStartsKnown = server.startUnixMillis > 0 && known->startUnixMillis > 0;
    return areStartsKnown ? server.startUnixMillis < known->startUnixMillis : server.address != known->address;
}

bool RouterState::recordLeaving(const BackendServer &server, StatementSource source, TimePoint at)
{
    if (!this->statements.recordLeaving(server, source, at)) {
        return false;
    }
    LogLine("backend-leaving")
        .add("backend", server.id)
        .add("address", server.address)
        .add("born", server.startUnixMillis)
        .add("from", sourceName(source))
        .write();
    this->metrics.set("cyclamencross_leaving_backends", double(this->statements.leavingCount()));
    return true;
}

void RouterState::reportStatement(const std::string &id, TimePoint now)
{
    if (this->recentStatements.size() < MaxReportedStatements) {
        this->recentStatements[id] = now;
    }
}

std::map<std::string, StatementNews> RouterState::takeStatementNews(TimePoint now)
{
    std::map<std::string, StatementNews> result;
    for (const auto &[id, since] : this->recentStatements) {
        const BackendStatement *statement = this->statements.find(id);
        if (statement == nullptr) {
            continue;
        }
        StatementNews &news = result[id];
        news.address = statement->address;
        news.startUnixMillis = statement->startUnixMillis;
        if (statement->leavingSince) {
            news.leavingAge = std::chrono::duration_cast<Millis>(now - *statement->leavingSince);
        }
        if (const auto until = this->statements.pausedUntil(id, now)) {
            news.pauseLeft = std::chrono::ceil<Millis>(*until - now);
        }
    }
    return result;
}

void RouterState::applyStatementNews(const std::string &id, const StatementNews &news, TimePoint now)
{
    const BackendServer *known = this->backends.find(id);
    const bool isIdentified = news.startUnixMillis > 0 && (known == nullptr || known->startUnixMillis > 0);
    const bool isSameAddress = known != nullptr && known->address == news.address;
    if (!isIdentified && !isSameAddress) {
        return;
    }
    BackendServer server;
    server.id = id;
    server.address = news.address;
    server.startUnixMillis = news.startUnixMillis;
    if (this->isEarlierIncarnation(server)) {
        return;
    }
    const Millis maxAge = isIdentified ? MaxStatementNewsAge : MaxUnidentifiedNewsAge;
    if (news.leavingAge >= Millis(0) && news.leavingAge <= maxAge) {
        this->recordLeaving(server, StatementSource::Peer, now - news.leavingAge);
    }
    if (news.pauseLeft > Millis(0)) {
        this->statements.recordPause(server, news.pauseLeft, StatementSource::Peer, now);
    }
}

void RouterState::applyNamedLimit(const std::string &backend, double requestsPerSecond, TimePoint answeredAt)
{
    this->namedLimits->record(backend, requestsPerSecond, answeredAt);
    if (const BackendServer *server = this->backends.find(backend)) {
        this->statements.recordLimit(*server, this->namedLimits->isKnown(backend));
    }
}

void RouterState::expireStatements(TimePoint now)
{
    this->slowdowns.expire(now);
    this->metrics.set("cyclamencross_told_slow_backends", double(this->slowdowns.slowCount(now)));
    this->statements.forgetLimits([this](const std::string &id) { return this->namedLimits->isKnown(id); });
    this->statements.expire([this](const std::string &id) { return this->backends.find(id) != nullptr; }, now);
    this->namedLimits->retain([this](const std::string &id) { return this->statements.hasLimit(id); });
    this->metrics.set("cyclamencross_leaving_backends", double(this->statements.leavingCount()));
    this->metrics.set("cyclamencross_paused_backends", double(this->statements.pausedCount(now)));
}

std::optional<TimePoint> RouterState::silentUntil(const std::string &service, EngineStage stage, bool withOtherGroups,
                                                  const std::set<std::string> &excluded, TimePoint now) const
{
    const auto pool = this->pools.find({service, stage});
    if (pool == this->pools.end()) {
        return std::nullopt;
    }
    bool anySilent = false;
    TimePoint earliest = TimePoint::max();
    // Returns whether one of the backend servers can take the request, now or when it has room.
    const auto canAnyServe = [&](const std::vector<std::string> &ids) {
        return std::any_of(ids.begin(), ids.end(), [&](const std::string &id) {
            const BackendServer *server = this->backends.find(id);
            if (server == nullptr || !this->isEligible(*server)) {
                return false;
            }
            const bool isSilent = this->statements.isSilent(id, now);
            anySilent = anySilent || isSilent;
            if (excluded.contains(id)) {
                return false;
            }
            if (const auto until = this->statements.pausedUntil(id, now); until && !this->statements.isLeaving(id)) {
                earliest = std::min(earliest, *until);
            }
            return !isSilent;
        });
    };
    const bool canServe = canAnyServe(pool->second.own) || (withOtherGroups && canAnyServe(pool->second.otherGroups));
    return anySilent && !canServe ? std::optional<TimePoint>(earliest) : std::nullopt;
}

}
