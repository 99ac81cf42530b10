#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace Cyclamen
{

/// News waiting to be spread: the newest first, each item a bounded number of times. Not thread-safe.
class UpdateQueue
{
public:
    /// Offers an item to the message that is being filled; returns whether it had room.
    using Offer = std::function<bool(const std::string &key)>;

    /// Adds the news @p key, or makes it the newest again.
    void push(const std::string &key);
    void remove(const std::string &key);
    /// Offers the items in turn, until one finds no room.
    /// @param limit an item is dropped after it has been taken this many times.
    /// @return the keys that were dropped.
    std::vector<std::string> take(int limit, const Offer &offer);
    std::size_t size() const;

private:
    struct Waiting
    {
        std::string key;
        int taken = 0;
    };
    std::list<Waiting> waiting; ///< Newest first.
};

}
