#include "updatequeue.h"

namespace Cyclamen
{

void UpdateQueue::push(const std::string &key)
{
    this->remove(key);
    this->waiting.push_front(Waiting{key, 0});
}

void UpdateQueue::remove(const std::string &key)
{
    this->waiting.remove_if([&key](const Waiting &item) { return item.key == key; });
}

std::vector<std::string> UpdateQueue::take(int limit, const Offer &offer)
{
    std::vector<std::string> dropped;
    for (auto item = this->waiting.begin(); item != this->waiting.end();) {
        if (!offer(item->key)) {
            break;
        }
        if (++item->taken < limit) {
            ++item;
            continue;
        }
        dropped.push_back(std::move(item->key));
        item = this->waiting.erase(item);
    }
    return dropped;
}

std::size_t UpdateQueue::size() const
{
    return this->waiting.size();
}

}
