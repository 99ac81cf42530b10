#include "cyclamencross/decide/fairqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Cyclamen
{

namespace
{

// An engine serves asks of one kind, so slots and tokens never compete with each other.
double costOf(const SlotAsk &ask)
{
    return ask.tokens > 0 ? static_cast<double>(ask.tokens) : std::max<double>(1, ask.slots);
}

}

double FairQueue::servedOf(const std::string &workspace) const
{
    const auto it = this->served.find(workspace);
    return it == this->served.end() ? this->level : std::max(this->level, it->second);
}

void FairQueue::add(const SlotAsk &ask, TimePoint now)
{
    const auto same = std::find_if(this->waiting.begin(), this->waiting.end(),
                                   [&ask](const Waiting &other) { return other.ask.requestId == ask.requestId; });
    if (same != this->waiting.end()) {
        same->ask = ask;
        return;
    }
    this->served[ask.workspace] = this->servedOf(ask.workspace);
    this->waiting.push_back({ask, now});
}

const FairQueue::Waiting *FairQueue::find(const std::string &requestId) const
{
    const auto it = std::find_if(this->waiting.begin(), this->waiting.end(),
                                 [&requestId](const Waiting &other) { return other.ask.requestId == requestId; });
    return it == this->waiting.end() ? nullptr : &*it;
}

std::vector<FairQueue::Waiting> FairQueue::removeIf(const std::function<bool(const Waiting &)> &isRemoved)
{
    std::vector<Waiting> removed;
    std::vector<Waiting> kept;
    for (Waiting &entry : this->waiting) {
        (isRemoved(entry) ? removed : kept).push_back(std::move(entry));
    }
    this->waiting = std::move(kept);
    return removed;
}

const FairQueue::Waiting *FairQueue::front() const
{
    const auto it =
        std::min_element(this->waiting.begin(), this->waiting.end(), [this](const Waiting &a, const Waiting &b) {
            return std::tuple(a.ask.priority, this->servedOf(a.ask.workspace), a.since)
                < std::tuple(b.ask.priority, this->servedOf(b.ask.workspace), b.since);
        });
    return it == this->waiting.end() ? nullptr : &*it;
}

FairQueue::Waiting FairQueue::serveFront()
{
    const auto index = this->front() - this->waiting.data();
    Waiting entry = std::move(this->waiting[static_cast<std::size_t>(index)]);
    this->waiting.erase(this->waiting.begin() + index);
    const double start = this->servedOf(entry.ask.workspace);
    this->level = std::max(this->level, start);
    this->served[entry.ask.workspace] = start + costOf(entry.ask);
    // A workspace at or below the level starts at the level anyway, so its record can go.
    std::erase_if(this->served, [this](const auto &record) { return record.second <= this->level; });
    return entry;
}

std::vector<const FairQueue::Waiting *> FairQueue::inOrder() const
{
    std::map<std::pair<std::string, std::uint8_t>, double> ahead;
    std::vector<std::pair<double, const Waiting *>> tagged;
    tagged.reserve(this->waiting.size());
    for (const Waiting &entry : this->waiting) {
        double &own = ahead[{entry.ask.workspace, entry.ask.priority}];
        tagged.emplace_back(this->servedOf(entry.ask.workspace) + own, &entry);
        own += costOf(entry.ask);
    }
    std::stable_sort(tagged.begin(), tagged.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.second->ask.priority, a.first) < std::tuple(b.second->ask.priority, b.first);
    });
    std::vector<const Waiting *> order;
    order.reserve(tagged.size());
    for (const auto &[tag, entry] : tagged) {
        order.push_back(entry);
    }
    return order;
}

std::size_t FairQueue::size() const
{
    return this->waiting.size();
}

}
