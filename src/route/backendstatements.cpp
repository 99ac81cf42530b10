#include "cyclamencross/route/backendstatements.h"

#include "cyclamencross/route/backendserver.h"

#include <algorithm>

namespace Cyclamen
{

BackendStatement *BackendStatements::prepare(const BackendServer &server)
{
    const auto known = this->statements.find(server.id);
    if (known == this->statements.end()) {
        BackendStatement &statement = this->statements[server.id];
        statement.address = server.address;
        statement.startUnixMillis = server.startUnixMillis;
        return &statement;
    }
    const bool isOlder = server.startUnixMillis > 0 && server.startUnixMillis < known->second.startUnixMillis;
    if (isOlder) {
        return nullptr;
    }
    this->applyRegistration(server, true);
    BackendStatement &statement = this->statements[server.id];
    statement.address = server.address;
    statement.startUnixMillis = std::max(statement.startUnixMillis, server.startUnixMillis);
    return &statement;
}

bool BackendStatements::recordLeaving(const BackendServer &server, StatementSource source, TimePoint at)
{
    BackendStatement *statement = this->prepare(server);
    if (statement == nullptr || statement->leavingSince) {
        return false;
    }
    statement->leavingSince = at;
    statement->leavingSource = source;
    return true;
}

bool BackendStatements::recordPause(const BackendServer &server, Millis length, StatementSource source, TimePoint at)
{
    BackendStatement *statement = length > Millis(0) ? this->prepare(server) : nullptr;
    if (statement == nullptr) {
        return false;
    }
    const TimePoint until = at + std::min(length, MaxPause);
    if (source == StatementSource::Peer) {
        statement->pausedForPeerUntil = std::max(until, statement->pausedForPeerUntil.value_or(until));
        return false;
    }
    const bool wasPaused = statement->pausedAt && at < statement->pausedUntil;
    const bool isNews = !wasPaused || until - statement->pausedUntil >= PauseNewsStep;
    statement->pausedUntil = wasPaused ? std::max(until, statement->pausedUntil) : until;
    statement->pausedAt = at;
    return isNews;
}

void BackendStatements::recordLimit(const BackendServer &server, bool hasLimit)
{
    if (!hasLimit && !this->hasLimit(server.id)) {
        return;
    }
    if (BackendStatement *statement = this->prepare(server)) {
        statement->hasLimit = hasLimit;
    }
}

void BackendStatements::forgetLimits(const std::function<bool(const std::string &id)> &isKnown)
{
    for (auto &[id, statement] : this->statements) {
        statement.hasLimit = statement.hasLimit && isKnown(id);
    }
}

bool BackendStatements::recordMalformed(const std::string &id)
{
    return this->malformed.insert(id).second;
}

bool BackendStatements::isLeaving(const std::string &id) const
{
    const BackendStatement *statement = this->find(id);
    return statement != nullptr && statement->leavingSince;
}

std::optional<TimePoint> BackendStatements::pausedUntil(const std::string &id, TimePoint now) const
{
    const BackendStatement *statement = this->find(id);
    const bool isPaused = statement != nullptr && statement->pausedAt && now < statement->pausedUntil;
    return isPaused ? std::optional<TimePoint>(statement->pausedUntil) : std::nullopt;
}

bool BackendStatements::isPausedForPeer(const std::string &id, TimePoint now) const
{
    const BackendStatement *statement = this->find(id);
    return statement != nullptr && statement->pausedForPeerUntil && now < *statement->pausedForPeerUntil;
}

bool BackendStatements::isSilent(const std::string &id, TimePoint now) const
{
    return this->isLeaving(id) || this->pausedUntil(id, now);
}

bool BackendStatements::hasLimit(const std::string &id) const
{
    const BackendStatement *statement = this->find(id);
    return statement != nullptr && statement->hasLimit;
}

const BackendStatement *BackendStatements::find(const std::string &id) const
{
    const auto known = this->statements.find(id);
    return known == this->statements.end() ? nullptr : &known->second;
}

std::size_t BackendStatements::leavingCount() const
{
    return std::size_t(std::count_if(this->statements.begin(), this->statements.end(), [](const auto &item) {
        return item.second.leavingSince && !item.second.removedAt;
    }));
}

std::size_t BackendStatements::pausedCount(TimePoint now) const
{
    return std::size_t(std::count_if(this->statements.begin(), this->statements.end(), [this, now](const auto &item) {
        return !item.second.removedAt && this->pausedUntil(item.first, now);
    }));
}

bool BackendStatements::applyRegistration(const BackendServer &server, bool wasRegistered)
{
    const auto known = this->statements.find(server.id);
    if (known == this->statements.end()) {
        return false;
    }
    BackendStatement &statement = known->second;
    const bool areStartsKnown = server.startUnixMillis > 0 && statement.startUnixMillis > 0;
    const bool isNewInstance = areStartsKnown ? server.startUnixMillis > statement.startUnixMillis
                                              : !wasRegistered || server.address != statement.address;
    if (isNewInstance) {
        this->statements.erase(known);
        this->malformed.erase(server.id);
        return true;
    }
    statement.startUnixMillis = std::max(statement.startUnixMillis, server.startUnixMillis);
    statement.removedAt = std::nullopt;
    return false;
}

void BackendStatements::expire(const std::function<bool(const std::string &id)> &isRegistered, TimePoint now)
{
    std::erase_if(this->malformed, [&isRegistered](const std::string &id) { return !isRegistered(id); });
    for (auto &[id, statement] : this->statements) {
        if (isRegistered(id)) {
            statement.removedAt = std::nullopt;
        } else {
            statement.removedAt = statement.removedAt.value_or(now);
        }
    }
    std::erase_if(this->statements, [now](const auto &item) {
        const BackendStatement &statement = item.second;
        const bool isPaused = statement.pausedAt && now < statement.pausedUntil;
        const bool isPausedForPeer = statement.pausedForPeerUntil && now < *statement.pausedForPeerUntil;
        const bool isGone = statement.removedAt && now - *statement.removedAt > GoneLifetime;
        return isGone || (!statement.leavingSince && !isPaused && !isPausedForPeer && !statement.hasLimit);
    });
}

}
