#include "replayguard.h"

#include <algorithm>

namespace Cyclamen
{

ReplayGuard::Verdict ReplayGuard::check(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence,
                                        TimePoint now)
{
    auto found = this->table.find(sender);
    if (found == this->table.end()) {
        if (!this->makeRoom(now)) {
            return Verdict::TableFull;
        }
        found = this->table.emplace(sender, Sender{incarnation, 0, {}, now}).first;
    }
    Sender &state = found->second;
    if (incarnation < state.incarnation) {
        return Verdict::OldIncarnation;
    }
    if (incarnation > state.incarnation) {
        state = Sender{incarnation, 0, {}, now};
    }
    if (sequence + WindowWidth <= state.highest) {
        return Verdict::Replay;
    }
    if (sequence > state.highest) {
        const std::uint64_t steps = std::min<std::uint64_t>(sequence - state.highest, WindowWidth);
        for (std::uint64_t step = 0; step < steps; ++step) {
            state.seen.reset((sequence - step) % WindowWidth);
        }
        state.highest = sequence;
    } else if (state.seen.test(sequence % WindowWidth)) {
        return Verdict::Replay;
    }
    state.seen.set(sequence % WindowWidth);
    state.lastHeard = now;
    return Verdict::Fresh;
}

std::size_t ReplayGuard::senders() const
{
    return this->table.size();
}

bool ReplayGuard::makeRoom(TimePoint now)
{
    if (this->table.size() < MaxSenders) {
        return true;
    }
    std::erase_if(this->table, [now](const auto &entry) { return now - entry.second.lastHeard >= IdleLifetime; });
    return this->table.size() < MaxSenders;
}

}
