#include "confighistory.h"

#include <utility>

namespace Cyclamen
{

ConfigHistory::ConfigHistory(std::size_t maxEntries, std::size_t maxBytes)
    : maxEntries(maxEntries)
    , maxBytes(maxBytes)
{
}

void ConfigHistory::note(ConfigRevision revision)
{
    const std::scoped_lock lock(this->mutex);
    if (!this->kept.empty() && this->kept.back().revision >= revision.revision) {
        return;
    }
    this->kept.push_back(std::move(revision));
    this->bytes += this->kept.back().text.size();
    while (this->kept.size() > 1 && (this->kept.size() > this->maxEntries || this->bytes > this->maxBytes)) {
        this->bytes -= this->kept.front().text.size();
        this->kept.pop_front();
    }
}

std::uint64_t ConfigHistory::newest() const
{
    const std::scoped_lock lock(this->mutex);
    return this->kept.empty() ? 0 : this->kept.back().revision;
}

std::vector<ConfigRevision> ConfigHistory::revisions() const
{
    const std::scoped_lock lock(this->mutex);
    return {this->kept.begin(), this->kept.end()};
}

}
