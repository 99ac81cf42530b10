#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Queue of gossip updates. The newest are sent first, each a bounded number of times. Not thread-safe.
class UpdateQueue
{
public:
    /// Offers an update to the message that is being filled. Returns whether it was taken; false if it does not fit.
    using Offer = std::function<bool(const std::string &key)>;

    /// Adds the update @p key, or moves it to the front and resets its count if it is queued already.
    void push(const std::string &key);
    void remove(const std::string &key);
    /// Offers the updates in turn until one does not fit.
    /// @param maxSends number of times an update is taken before it is dropped.
    /// @return the keys of the dropped updates.
    std::vector<std::string> offerUpdates(int maxSends, const Offer &offer);
    std::size_t size() const;

private:
    struct QueuedUpdate
    {
        std::string key;
        int sendCount = 0;
    };
    std::list<QueuedUpdate> updates; ///< Newest first.
};

}
