#include "prober.h"

#include <algorithm>

namespace Cyclamen
{

Prober::Prober(Millis timeout, Millis period)
    : timeout(timeout)
    , period(period)
{
}

std::optional<std::string> Prober::next(const std::vector<std::string> &candidates, std::mt19937_64 &random)
{
    while (!this->currentRound.empty()) {
        std::string name = std::move(this->currentRound.back());
        this->currentRound.pop_back();
        if (std::binary_search(candidates.begin(), candidates.end(), name)) {
            return name;
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    this->currentRound = candidates;
    std::shuffle(this->currentRound.begin(), this->currentRound.end(), random);
    std::string name = std::move(this->currentRound.back());
    this->currentRound.pop_back();
    return name;
}

std::uint64_t Prober::begin(const std::string &name, TimePoint now)
{
    this->probes.emplace(++this->lastNumber, Probe{name, now, false});
    return this->lastNumber;
}

std::uint64_t Prober::beginRelay(Relay relay, TimePoint now)
{
    this->relays.emplace(++this->lastNumber, std::pair(std::move(relay), now));
    return this->lastNumber;
}

std::optional<Prober::Relay> Prober::acknowledge(std::uint64_t number)
{
    this->probes.erase(number);
    const auto relay = this->relays.extract(number);
    return relay.empty() ? std::nullopt : std::optional(relay.mapped().first);
}

Prober::Due Prober::due(TimePoint now)
{
    Due due;
    for (auto item = this->probes.begin(); item != this->probes.end();) {
        Probe &probe = item->second;
        if (now - probe.sent >= this->period) {
            due.unanswered.push_back(probe.name);
            item = this->probes.erase(item);
            continue;
        }
        if (!probe.indirect && now - probe.sent >= this->timeout) {
            probe.indirect = true;
            due.indirect.emplace_back(probe.name, item->first);
        }
        ++item;
    }
    std::erase_if(this->relays, [now](const auto &item) { return now - item.second.second >= RelayLifetime; });
    return due;
}

void Prober::cancelAll()
{
    this->probes.clear();
}

}
