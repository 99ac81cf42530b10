#include "changequeue.h"

#include "packedchanges.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// What one Mbit/s carries in a millisecond.
constexpr double BitsPerMillisecond = 1000;

std::size_t sizeOf(const StoreItem &item)
{
    return item.key.size() + item.value.size();
}

std::size_t sizeOf(const std::vector<StoreItem> &items)
{
    std::size_t size = 0;
    for (const StoreItem &item : items) {
        size += sizeOf(item);
    }
    return size;
}

}

ChangeQueue::ChangeQueue(double linkMegabits)
    : linkMegabits(linkMegabits)
{
}

void ChangeQueue::add(const StoreChanges &added)
{
    const bool isOverReturn = this->pending.upTo.generation() != added.upTo.generation();
    if (this->isEmpty() || this->pending.upTo < added.after || isOverReturn) {
        // The changes between the two ranges came from a peer and are in neither of them, or the store has returned:
        // the items of one report are of one generation.
        this->pending = StoreChanges();
        this->pending.after = added.after;
    }
    this->pending.upTo = std::max(this->pending.upTo, added.upTo);
    this->pending.isSnapshotDiff = this->pending.isSnapshotDiff || added.isSnapshotDiff;
    this->pending.copiedUpTo = std::max(this->pending.copiedUpTo, added.copiedUpTo);
    std::vector<StoreItem> &items = this->pending.items;
    items.insert(items.end(), added.items.begin(), added.items.end());
    std::set<std::string> later;
    std::vector<StoreItem> newest;
    for (auto item = items.rbegin(); item != items.rend(); ++item) {
        if (later.insert(item->key).second) {
            newest.push_back(std::move(*item));
        }
    }
    items.assign(std::make_move_iterator(newest.rbegin()), std::make_move_iterator(newest.rend()));
    if (sizeOf(items) > MaxPendingBytes) {
        this->pending = StoreChanges();
    }
}

bool ChangeQueue::isEmpty() const
{
    return this->pending.upTo == StoreRevision();
}

StoreChanges ChangeQueue::take(std::size_t peers, TimePoint now)
{
    if (this->isEmpty() || now < this->nextReport) {
        return {};
    }
    StoreChanges part = this->takePart();
    const std::size_t packedBytes = packChanges(part).size();
    const Millis time = this->sendTime(packedBytes, peers);
    if (time > MaxSendTime || packedBytes > MaxPackedBytes) {
        LogLine("changes-not-sent")
            .add("after", part.after.number())
            .add("up_to", part.upTo.number())
            .add("bytes", std::uint64_t(sizeOf(part.items)))
            .add("link_ms", std::int64_t(time.count()))
            .write();
        this->pending = StoreChanges(); // Those that follow need these.
        return {};
    }
    this->nextReport = now + std::chrono::duration_cast<Millis>(time / LinkShare);
    return part;
}

StoreChanges ChangeQueue::takePart()
{
    std::size_t size = 0;
    std::size_t count = 0;
    while (count < this->pending.items.size()) {
        const StoreItem &item = this->pending.items[count];
        size += sizeOf(item);
        // Items of the same revision were written together and stay together. The difference between two states has no
        // order.
        const bool mayEndBefore =
            count > 0 && !this->pending.isSnapshotDiff && this->pending.items[count - 1].revision < item.revision;
        if (size > MaxPartBytes && mayEndBefore) {
            break;
        }
        ++count;
    }
    if (count == this->pending.items.size()) {
        return std::exchange(this->pending, {});
    }
    const auto end = this->pending.items.begin() + std::ptrdiff_t(count);
    StoreChanges part;
    part.after = this->pending.after;
    part.upTo = this->pending.items[count - 1].revision;
    part.items.assign(this->pending.items.begin(), end);
    this->pending.items.erase(this->pending.items.begin(), end);
    this->pending.after = part.upTo;
    return part;
}

Millis ChangeQueue::sendTime(std::size_t bytes, std::size_t peers) const
{
    if (this->linkMegabits <= 0) {
        return Millis(0);
    }
    return Millis(std::int64_t(double(bytes) * 8 * double(peers) / (this->linkMegabits * BitsPerMillisecond)));
}

}
