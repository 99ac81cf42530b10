#include "replayfilter.h"

#include <algorithm>

namespace Cyclamen
{

ReplayFilter::Result ReplayFilter::check(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence,
                                         TimePoint now)
{
    auto found = this->senderTable.find(sender);
    if (found == this->senderTable.end()) {
        if (!this->evictIdleSenders(now)) {
            return Result::TableFull;
        }
        found = this->senderTable.emplace(sender, Sender{incarnation, 0, {}, now}).first;
    }
    Sender &state = found->second;
    if (incarnation < state.incarnation) {
        return Result::OldIncarnation;
    }
    if (incarnation > state.incarnation) {
        state = Sender{incarnation, 0, {}, now};
    }
    if (sequence + WindowWidth <= state.highestSequence) {
        return Result::Replay;
    }
    if (sequence > state.highestSequence) {
        const std::uint64_t steps = std::min<std::uint64_t>(sequence - state.highestSequence, WindowWidth);
        for (std::uint64_t step = 0; step < steps; ++step) {
            state.seen.reset((sequence - step) % WindowWidth);
        }
        state.highestSequence = sequence;
    } else if (state.seen.test(sequence % WindowWidth)) {
        return Result::Replay;
    }
    state.seen.set(sequence % WindowWidth);
    state.lastReceived = now;
    return Result::Fresh;
}

std::size_t ReplayFilter::senders() const
{
    return this->senderTable.size();
}

bool ReplayFilter::evictIdleSenders(TimePoint now)
{
    if (this->senderTable.size() < MaxSenders) {
        return true;
    }
    std::erase_if(this->senderTable,
                  [now](const auto &entry) { return now - entry.second.lastReceived >= SenderIdleTimeout; });
    return this->senderTable.size() < MaxSenders;
}

}
