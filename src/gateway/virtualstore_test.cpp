#include "virtualstore_test.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

VirtualStore::VirtualStore(VirtualTime &time)
    : time(time)
{
}

StoreResult<StorePage> VirtualStore::list() const
{
    StorePage page;
    page.revision = this->revision;
    for (const auto &[key, item] : this->items) {
        page.items.push_back(item.first);
    }
    return page;
}

StoreResult<StorePage> VirtualStore::changes(const StoreRevision &after) const
{
    if (after.number() < this->droppedUpTo) {
        if (!this->hidesDropped) {
            return StoreFailure{StoreFailure::Kind::HistoryCompacted, ""};
        }
        return StorePage{{}, this->revision};
    }
    StorePage page;
    page.revision = this->revision;
    const auto first = std::find_if(this->history.begin(), this->history.end(),
                                    [after](const StoreItem &item) { return item.revision > after; });
    page.items.assign(first, this->history.end());
    return page;
}

StoreResult<StoreRevision> VirtualStore::writeIf(const std::string &key, const std::string &value, std::uint64_t lease,
                                                 const std::string &conditionKey,
                                                 const StoreRevision &conditionRevision)
{
    const auto condition = this->items.find(conditionKey);
    const StoreRevision known = condition == this->items.end() ? StoreRevision() : condition->second.first.revision;
    if (known != conditionRevision) {
        return StoreFailure{StoreFailure::Kind::Conflict, ""};
    }
    if (lease != 0 && !this->leases.contains(lease)) {
        return StoreFailure{StoreFailure::Kind::LeaseExpired, ""};
    }
    return this->put(key, value, lease);
}

void VirtualStore::commit(StoreItem item)
{
    item.revision = ++this->revision;
    this->history.push_back(item);
    if (this->onChange) {
        this->onChange(item);
    }
    this->answerWatches();
}

StoreRevision VirtualStore::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    const StoreItem item{key, value, this->revision + 1, false};
    this->items[key] = {item, lease};
    this->commit(item);
    return item.revision;
}

void VirtualStore::remove(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        this->commit(StoreItem{key, "", 0, true});
    }
}

std::optional<std::string> VirtualStore::find(const std::string &key) const
{
    const auto item = this->items.find(key);
    return item == this->items.end() ? std::nullopt : std::optional(item->second.first.value);
}

void VirtualStore::answerWatches()
{
    for (const Watch &watch : std::exchange(this->watches, {})) {
        StoreResult<StorePage> result = this->changes(watch.after);
        const auto *page = std::get_if<StorePage>(&result);
        if (page != nullptr && page->items.empty() && this->time.now() < watch.until) {
            this->watches.push_back(watch);
        } else {
            watch.reply(std::move(result));
        }
    }
}

std::uint64_t VirtualStore::grantLease(Millis lifetime)
{
    this->leases[this->nextLease] = Lease{lifetime, this->time.now() + lifetime};
    return this->nextLease++;
}

bool VirtualStore::renewLease(std::uint64_t lease)
{
    const auto known = this->leases.find(lease);
    if (known == this->leases.end()) {
        return false;
    }
    known->second.expiry = this->time.now() + known->second.lifetime;
    return true;
}

void VirtualStore::endLease(std::uint64_t lease)
{
    if (this->leases.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (item.second == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->remove(key);
    }
}

void VirtualStore::expireLeases()
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, lease] : this->leases) {
        if (lease.expiry <= this->time.now()) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t lease : due) {
        this->endLease(lease);
    }
}

void VirtualStore::setFault(std::size_t router, StoreFault fault, StoreCalls calls, Millis duration, Millis delay)
{
    this->faults[router].push_back(Fault{fault, calls, this->time.now() + duration, delay});
    for (const auto &weak : this->clients) {
        const auto client = weak.lock();
        if (client && fault == StoreFault::Reset && client->process->router == router && client->cancelWatch) {
            std::exchange(client->cancelWatch, nullptr)(); // The connection of the open watch breaks as well.
        }
    }
}

VirtualStore::Fault VirtualStore::faultOf(std::size_t router, StoreCalls calls) const
{
    // A call that the store refuses or does not receive has no answer that could be lost or late.
    Fault result;
    if (const auto known = this->faults.find(router); known != this->faults.end()) {
        for (const Fault &fault : known->second) {
            const bool applies =
                this->time.now() < fault.until && (fault.calls == StoreCalls::All || fault.calls == calls);
            const bool isWeaker = result.kind == StoreFault::None || result.kind >= StoreFault::LoseAnswers;
            if (applies && isWeaker) {
                result = fault;
            }
        }
    }
    return result;
}

void VirtualStore::silenceIdle(std::size_t router, Millis duration)
{
    this->silencesIdleUntil[router] = this->time.now() + duration;
}

void VirtualStore::recordTraffic(std::size_t router, Connection &connection)
{
    const auto until = this->silencesIdleUntil.find(router);
    const bool isSilenced = until != this->silencesIdleUntil.end() && this->time.now() < until->second
        && this->time.now() - connection.lastTraffic >= IdleLimit;
    connection.silent = connection.silent || isSilenced;
    connection.lastTraffic = this->time.now();
}

void VirtualStore::silenceWatch(std::size_t router)
{
    for (const auto &weak : this->clients) {
        const auto client = weak.lock();
        const auto connection = client ? client->watchConnection.lock() : nullptr;
        if (connection && client->process->router == router) {
            connection->silent = true;
        }
    }
}

void VirtualStore::silenceConnections(std::size_t router)
{
    for (const auto &weak : this->clients) {
        const auto client = weak.lock();
        if (!client || client->process->router != router) {
            continue;
        }
        for (const auto &weakConnection : client->all) {
            if (const auto connection = weakConnection.lock()) {
                connection->silent = true;
            }
        }
    }
}

void VirtualStore::dropHistory(bool hidesChanges)
{
    this->droppedUpTo = this->revision;
    this->hidesDropped = hidesChanges;
    this->history.clear();
    this->answerWatches();
}

void VirtualStore::clear()
{
    this->watches.clear();
}

void VirtualStore::setDown(TimePoint until)
{
    this->downUntil = std::max(this->downUntil, until);
}

bool VirtualStore::isDown() const
{
    return this->time.now() < this->downUntil;
}

std::size_t VirtualStore::listCount() const
{
    return this->lists;
}

}
