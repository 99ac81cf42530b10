#include "virtualstore_test.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

VirtualStore::VirtualStore(VirtualTime &time)
    : time(time)
{
}

StoreFailure VirtualStore::failure(StoreFailure::Kind kind) const
{
    return StoreFailure{kind, "", this->generation};
}

StoreItem VirtualStore::answered(StoreItem item) const
{
    item.revision = StoreRevision(this->generation, item.revision.number());
    return item;
}

StoreResult<StorePage> VirtualStore::list() const
{
    StorePage page;
    page.revision = StoreRevision(this->generation, this->content.revision);
    for (const auto &[key, item] : this->content.items) {
        page.items.push_back(this->answered(item.first));
    }
    return page;
}

StoreResult<StorePage> VirtualStore::changes(const StoreRevision &after) const
{
    StorePage page;
    page.revision = StoreRevision(this->generation, this->content.revision);
    if (after.number() > this->content.revision) {
        return this->failure(StoreFailure::Kind::HistoryCompacted);
    }
    if (after.number() < this->content.droppedUpTo) {
        if (!this->content.hidesDropped) {
            return this->failure(StoreFailure::Kind::HistoryCompacted);
        }
        return page;
    }
    for (const StoreItem &item : this->content.history) {
        if (item.revision.number() > after.number()) {
            page.items.push_back(this->answered(item));
        }
    }
    return page;
}

StoreResult<StoreRevision> VirtualStore::writeIf(const std::string &key, const std::string &value, std::uint64_t lease,
                                                 const std::string &conditionKey,
                                                 const StoreRevision &conditionRevision)
{
    const auto condition = this->content.items.find(conditionKey);
    const StoreRevision known =
        condition == this->content.items.end() ? StoreRevision() : condition->second.first.revision;
    if (known.number() != conditionRevision.number()) {
        return this->failure(StoreFailure::Kind::Conflict);
    }
    if (lease != 0 && !this->content.leases.contains(lease)) {
        return this->failure(StoreFailure::Kind::LeaseExpired);
    }
    return this->put(key, value, lease);
}

void VirtualStore::commit(StoreItem item)
{
    item.revision = StoreRevision(this->generation, ++this->content.revision);
    this->content.history.push_back(item);
    if (this->onChange) {
        this->onChange(item);
    }
    this->answerWatches();
}

StoreRevision VirtualStore::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    const StoreItem item{key, value, StoreRevision(this->generation, this->content.revision + 1), false};
    this->content.items[key] = {item, lease};
    this->commit(item);
    return item.revision;
}

void VirtualStore::remove(const std::string &key)
{
    if (this->content.items.erase(key) > 0) {
        this->commit(StoreItem{key, "", 0, true});
    }
}

std::optional<std::string> VirtualStore::find(const std::string &key) const
{
    const auto item = this->content.items.find(key);
    return item == this->content.items.end() ? std::nullopt : std::optional(item->second.first.value);
}

std::uint64_t VirtualStore::leaseOf(const std::string &key) const
{
    const auto item = this->content.items.find(key);
    return item == this->content.items.end() ? 0 : item->second.second;
}

void VirtualStore::nameGeneration()
{
    this->generation = 1;
}

const VirtualStoreContent &VirtualStore::currentContent() const
{
    return this->content;
}

void VirtualStore::returnFrom(VirtualStoreContent copy, Clock::duration age)
{
    this->content = std::move(copy);
    for (auto &[id, lease] : this->content.leases) {
        lease.expiry += age;
    }
    ++this->generation;
    this->answerWatches();
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
    this->content.leases[this->content.nextLease] = VirtualStoreContent::Lease{lifetime, this->time.now() + lifetime};
    return this->content.nextLease++;
}

bool VirtualStore::renewLease(std::uint64_t lease)
{
    const auto known = this->content.leases.find(lease);
    if (known == this->content.leases.end()) {
        return false;
    }
    known->second.expiry = this->time.now() + known->second.lifetime;
    return true;
}

void VirtualStore::endLease(std::uint64_t lease)
{
    if (this->content.leases.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->content.items) {
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
    for (const auto &[id, lease] : this->content.leases) {
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
    this->content.droppedUpTo = this->content.revision;
    this->content.hidesDropped = hidesChanges;
    this->content.history.clear();
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
