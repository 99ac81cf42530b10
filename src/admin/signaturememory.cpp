#include "signaturememory.h"

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

SignatureMemory::SignatureMemory(std::size_t capacity, std::int64_t start)
    : capacity(capacity)
    , start(start)
{
}

SignatureMemory::Verdict SignatureMemory::record(const std::string &signature, std::int64_t now)
{
    if (signedTime(signature) < this->start) {
        return Verdict::TooEarly;
    }
    const std::scoped_lock lock(this->mutex);
    while (!this->byTime.empty() && this->byTime.front().first + KeepSeconds < now) {
        this->known.erase(this->byTime.front().second);
        this->byTime.pop_front();
    }
    if (this->known.contains(signature)) {
        return Verdict::Replay;
    }
    if (this->known.size() >= this->capacity) {
        return Verdict::Full;
    }
    this->known.insert(signature);
    this->byTime.emplace_back(now, signature);
    return Verdict::New;
}

}
