#include "prefixhints.h"

namespace Cyclamen
{

PrefixHints::PrefixHints(std::size_t limit)
    : limit(limit)
{
}

void PrefixHints::note(const std::string &prefix, const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    this->noteLocked(prefix, engine);
}

void PrefixHints::noteLocked(const std::string &prefix, const std::string &engine)
{
    const auto known = this->byPrefix.find(prefix);
    if (known != this->byPrefix.end()) {
        known->second->engine = engine;
        this->hints.splice(this->hints.begin(), this->hints, known->second);
        return;
    }
    this->hints.push_front({prefix, engine});
    this->byPrefix.emplace(prefix, this->hints.begin());
    if (this->hints.size() > this->limit) {
        this->byPrefix.erase(this->hints.back().prefix);
        this->hints.pop_back();
    }
}

std::optional<std::string> PrefixHints::find(const std::string &prefix) const
{
    const std::scoped_lock lock(this->mutex);
    const auto known = this->byPrefix.find(prefix);
    return known == this->byPrefix.end() ? std::nullopt : std::optional(known->second->engine);
}

bool PrefixHints::apply(const std::string &engine, const CacheEvents &reply)
{
    const std::scoped_lock lock(this->mutex);
    std::uint64_t &expected = this->next[engine];
    // 0 means that nothing was read yet: the engine may have dropped its oldest events, but no hint depends on them.
    const bool isFirst = expected == 0;
    bool gap = reply.next < expected;
    std::uint64_t sequence = expected;
    for (const CacheEvents::Event &event : reply.events) {
        gap = gap || (event.sequence != sequence && sequence != 0);
        sequence = event.sequence + 1;
    }
    gap = (gap || (sequence != 0 && sequence != reply.next)) && !isFirst;
    if (gap) {
        this->dropLocked(engine);
    }
    for (const CacheEvents::Event &event : reply.events) {
        const auto known = this->byPrefix.find(event.prefix);
        if (event.added) {
            this->noteLocked(event.prefix, engine);
        } else if (known != this->byPrefix.end() && known->second->engine == engine) {
            this->hints.erase(known->second);
            this->byPrefix.erase(known);
        }
    }
    expected = reply.next;
    return gap;
}

void PrefixHints::dropLocked(const std::string &engine)
{
    for (auto it = this->hints.begin(); it != this->hints.end();) {
        if (it->engine == engine) {
            this->byPrefix.erase(it->prefix);
            it = this->hints.erase(it);
        } else {
            ++it;
        }
    }
}

std::uint64_t PrefixHints::nextSequence(const std::string &engine) const
{
    const std::scoped_lock lock(this->mutex);
    const auto known = this->next.find(engine);
    return known == this->next.end() ? 0 : known->second;
}

void PrefixHints::forget(const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    this->next.erase(engine);
}

std::size_t PrefixHints::size() const
{
    const std::scoped_lock lock(this->mutex);
    return this->hints.size();
}

}
