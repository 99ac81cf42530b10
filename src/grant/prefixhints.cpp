#include "prefixhints.h"

namespace Cyclamen
{

PrefixHints::PrefixHints(std::size_t limit)
    : limit(limit)
{
}

void PrefixHints::record(const std::string &prefix, const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    this->recordLocked(prefix, engine);
}

void PrefixHints::recordLocked(const std::string &prefix, const std::string &engine)
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
    std::uint64_t &expected = this->nextSequences[engine];
    // 0 means that nothing was read yet: the engine may have discarded its oldest events, but no hint depends on them.
    const bool isFirst = expected == 0;
    bool gap = reply.nextSequence < expected;
    std::uint64_t sequence = expected;
    for (const CacheEvents::Event &event : reply.events) {
        gap = gap || (event.sequence != sequence && sequence != 0);
        sequence = event.sequence + 1;
    }
    gap = (gap || (sequence != 0 && sequence != reply.nextSequence)) && !isFirst;
    if (gap) {
        this->dropLocked(engine);
    }
    for (const CacheEvents::Event &event : reply.events) {
        const auto known = this->byPrefix.find(event.prefix);
        if (event.added) {
            this->recordLocked(event.prefix, engine);
        } else if (known != this->byPrefix.end() && known->second->engine == engine) {
            this->hints.erase(known->second);
            this->byPrefix.erase(known);
        }
    }
    expected = reply.nextSequence;
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
    const auto known = this->nextSequences.find(engine);
    return known == this->nextSequences.end() ? 0 : known->second;
}

void PrefixHints::forget(const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    this->nextSequences.erase(engine);
}

std::size_t PrefixHints::size() const
{
    const std::scoped_lock lock(this->mutex);
    return this->hints.size();
}

}
