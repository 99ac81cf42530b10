#include "cyclamencross/route/streamorigins.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

Millis millisLeft(TimePoint until, TimePoint now)
{
    return std::chrono::ceil<Millis>(until - now);
}

}

std::uint64_t StreamOrigins::keyOf(const std::string &service, const std::string &workspace,
                                   const std::string &requestId)
{
    return hash64(requestId, hash64(workspace, hash64(service)));
}

void StreamOrigins::begin(const std::string &service, std::uint64_t key, const std::string &version, Millis lifetime,
                          TimePoint now)
{
    if (this->streams.size() >= MaxStreams && !this->streams.contains(key)) {
        return;
    }
    const TimePoint until = now + std::min(lifetime, MaxLifetime);
    const auto [stream, isNew] = this->streams.try_emplace(key, Stream{service, version, now, until, Repetitions});
    if (isNew) {
        this->untold.push_back(key);
        this->notStored.push_back(key);
    }
}

bool StreamOrigins::learn(const StreamOriginsByVersion &told, bool fromStore, TimePoint now)
{
    bool learnt = false;
    for (const auto &[version, origins] : told) {
        for (const StreamOrigin &origin : origins) {
            if (origin.left <= Millis(0)
                || (this->streams.size() >= MaxStreams && !this->streams.contains(origin.key))) {
                continue;
            }
            const TimePoint until = now + std::min(origin.left, MaxLifetime);
            const auto [stream, isNew] =
                this->streams.try_emplace(origin.key, Stream{"", version, now, until, 0, fromStore});
            stream->second.stored = stream->second.stored || fromStore;
            if (isNew && !fromStore) {
                this->notStored.push_back(origin.key);
            }
            learnt = learnt || isNew;
        }
    }
    return learnt;
}

const std::string *StreamOrigins::find(std::uint64_t key) const
{
    const auto stream = this->streams.find(key);
    return stream == this->streams.end() ? nullptr : &stream->second.version;
}

StreamOriginsByVersion StreamOrigins::takeUntold(const std::function<bool(const std::string &service)> &isNeeded,
                                                 TimePoint now)
{
    StreamOriginsByVersion result;
    std::size_t count = 0;
    std::deque<std::uint64_t> rest;
    for (const std::uint64_t key : this->untold) {
        const auto stream = this->streams.find(key);
        if (stream == this->streams.end()) {
            continue;
        }
        if (count < MaxTold && isNeeded(stream->second.service)) {
            result[stream->second.version].push_back(StreamOrigin{key, millisLeft(stream->second.until, now)});
            ++count;
            --stream->second.tellsLeft;
        }
        if (stream->second.tellsLeft > 0) {
            rest.push_back(key);
        }
    }
    this->untold = std::move(rest);
    return result;
}

StreamOriginsByVersion StreamOrigins::unstored(const std::function<bool(const std::string &service)> &isNeeded,
                                               Millis minAge, TimePoint now) const
{
    StreamOriginsByVersion result;
    std::size_t count = 0;
    for (const std::uint64_t key : this->notStored) {
        const auto stream = this->streams.find(key);
        if (stream == this->streams.end() || stream->second.stored || now - stream->second.since < minAge
            || (!stream->second.service.empty() && !isNeeded(stream->second.service))) {
            continue;
        }
        result[stream->second.version].push_back(StreamOrigin{key, millisLeft(stream->second.until, now)});
        if (++count == MaxTold) {
            break;
        }
    }
    return result;
}

void StreamOrigins::markStored(const StreamOriginsByVersion &stored)
{
    for (const auto &[version, origins] : stored) {
        for (const StreamOrigin &origin : origins) {
            if (const auto stream = this->streams.find(origin.key); stream != this->streams.end()) {
                stream->second.stored = true;
            }
        }
    }
}

void StreamOrigins::markAllUnstored()
{
    this->notStored.clear();
    for (auto &[key, stream] : this->streams) {
        stream.stored = false;
        this->notStored.push_back(key);
    }
}

void StreamOrigins::expire(TimePoint now)
{
    std::erase_if(this->streams, [now](const auto &stream) { return stream.second.until <= now; });
    std::erase_if(this->untold, [this](std::uint64_t key) { return !this->streams.contains(key); });
    std::erase_if(this->notStored, [this](std::uint64_t key) {
        const auto stream = this->streams.find(key);
        return stream == this->streams.end() || stream->second.stored;
    });
}

std::size_t StreamOrigins::size() const
{
    return this->streams.size();
}

}
