#include "signaturememory.h"

namespace Cyclamen
{

SignatureMemory::SignatureMemory(std::size_t capacity)
    : capacity(capacity)
{
}

SignatureMemory::Verdict SignatureMemory::record(const std::string &signature, std::int64_t now)
{
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
