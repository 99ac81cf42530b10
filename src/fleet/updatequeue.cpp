#include "updatequeue.h"

namespace Cyclamen
{

void UpdateQueue::push(const std::string &key)
{
    this->remove(key);
    this->updates.push_front(QueuedUpdate{key, 0});
}

void UpdateQueue::remove(const std::string &key)
{
    this->updates.remove_if([&key](const QueuedUpdate &item) { return item.key == key; });
}

std::vector<std::string> UpdateQueue::offerUpdates(int maxSends, const Offer &offer)
{
    std::vector<std::string> dropped;
    for (auto item = this->updates.begin(); item != this->updates.end();) {
        if (!offer(item->key)) {
            break;
        }
        if (++item->sendCount < maxSends) {
            ++item;
            continue;
        }
        dropped.push_back(std::move(item->key));
        item = this->updates.erase(item);
    }
    return dropped;
}

std::size_t UpdateQueue::size() const
{
    return this->updates.size();
}

}
