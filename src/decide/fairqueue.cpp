#include "cyclamencross/decide/fairqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Cyclamen
{

namespace
{

// Returns the cost in slots or tokens. All requests to an engine are of one kind, so the units never mix in a queue.
double costOf(const SlotRequest &request)
{
    return request.tokens > 0 ? static_cast<double>(request.tokens) : std::max<double>(1, request.slots);
}

}

double FairQueue::startTag(const std::string &workspace) const
{
    const auto it = this->finishTags.find(workspace);
    return it == this->finishTags.end() ? this->virtualTime : std::max(this->virtualTime, it->second);
}

void FairQueue::add(const SlotRequest &request, TimePoint now)
{
    const auto existing = std::find_if(this->entries.begin(), this->entries.end(), [&request](const Entry &other) {
        return other.request.requestId == request.requestId;
    });
    if (existing != this->entries.end()) {
        existing->request = request;
        return;
    }
    this->finishTags[request.workspace] = this->startTag(request.workspace);
    this->entries.push_back({request, now});
}

const FairQueue::Entry *FairQueue::find(const std::string &requestId) const
{
    const auto it = std::find_if(this->entries.begin(), this->entries.end(),
                                 [&requestId](const Entry &other) { return other.request.requestId == requestId; });
    return it == this->entries.end() ? nullptr : &*it;
}

std::vector<FairQueue::Entry> FairQueue::removeIf(const std::function<bool(const Entry &)> &isRemoved)
{
    std::vector<Entry> removed;
    std::vector<Entry> kept;
    for (Entry &entry : this->entries) {
        (isRemoved(entry) ? removed : kept).push_back(std::move(entry));
    }
    this->entries = std::move(kept);
    return removed;
}

const FairQueue::Entry *FairQueue::front() const
{
    const auto it =
        std::min_element(this->entries.begin(), this->entries.end(), [this](const Entry &a, const Entry &b) {
            return std::tuple(a.request.priority, this->startTag(a.request.workspace), a.queuedAt)
                < std::tuple(b.request.priority, this->startTag(b.request.workspace), b.queuedAt);
        });
    return it == this->entries.end() ? nullptr : &*it;
}

FairQueue::Entry FairQueue::serveFront()
{
    const auto index = this->front() - this->entries.data();
    Entry entry = std::move(this->entries[static_cast<std::size_t>(index)]);
    this->entries.erase(this->entries.begin() + index);
    const double start = this->startTag(entry.request.workspace);
    this->virtualTime = std::max(this->virtualTime, start);
    this->finishTags[entry.request.workspace] = start + costOf(entry.request);
    // A workspace whose finish tag is at most the virtual time starts at the virtual time with or without a record.
    std::erase_if(this->finishTags, [this](const auto &record) { return record.second <= this->virtualTime; });
    return entry;
}

std::vector<const FairQueue::Entry *> FairQueue::inOrder() const
{
    std::map<std::pair<std::string, std::uint8_t>, double> queuedCost;
    std::vector<std::pair<double, const Entry *>> tagged;
    tagged.reserve(this->entries.size());
    for (const Entry &entry : this->entries) {
        double &costAhead = queuedCost[{entry.request.workspace, entry.request.priority}];
        tagged.emplace_back(this->startTag(entry.request.workspace) + costAhead, &entry);
        costAhead += costOf(entry.request);
    }
    std::stable_sort(tagged.begin(), tagged.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.second->request.priority, a.first) < std::tuple(b.second->request.priority, b.first);
    });
    std::vector<const Entry *> order;
    order.reserve(tagged.size());
    for (const auto &[tag, entry] : tagged) {
        order.push_back(entry);
    }
    return order;
}

std::size_t FairQueue::size() const
{
    return this->entries.size();
}

}
