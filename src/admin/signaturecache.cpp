#include "signaturecache.h"

#include <charconv>
#include <limits>

namespace Cyclamen
{

namespace
{

std::int64_t signedTime(const std::string &signature)
{
    std::int64_t time = std::numeric_limits<std::int64_t>::min();
    std::from_chars(signature.data(), signature.data() + signature.size(), time);
    return time;
}

}

SignatureCache::SignatureCache(std::size_t capacity, std::int64_t startTime)
    : capacity(capacity)
    , startTime(startTime)
{
}

SignatureCache::Result SignatureCache::record(const std::string &signature, std::int64_t now)
{
    if (signedTime(signature) < this->startTime) {
        return Result::BeforeStart;
    }
    const std::scoped_lock lock(this->mutex);
    while (!this->byReceiveTime.empty() && this->byReceiveTime.front().first + RetentionSeconds < now) {
        this->signatures.erase(this->byReceiveTime.front().second);
        this->byReceiveTime.pop_front();
    }
    if (this->signatures.contains(signature)) {
        return Result::Replay;
    }
    if (this->signatures.size() >= this->capacity) {
        return Result::Full;
    }
    this->signatures.insert(signature);
    this->byReceiveTime.emplace_back(now, signature);
    return Result::New;
}

}
