#include "cyclamencross/route/busiestlabels.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

namespace
{

// A name takes another's label if its weight is this many times as large and larger by MinLead.
constexpr std::uint64_t LeadFactor = 2;
constexpr std::uint64_t MinLead = 16;

}

BusiestLabels::BusiestLabels(std::size_t limit)
    : limit(limit)
{
}

std::string BusiestLabels::use(const std::string &name)
{
    this->halveIfDue();
    ++this->uses;
    Entry &entry = this->entries[name];
    ++entry.weight;
    if (!entry.named) {
        this->giveLabel(name, entry);
    }
    return entry.named ? name : Other;
}

std::vector<std::string> BusiestLabels::takeWithdrawn()
{
    return std::exchange(this->withdrawn, {});
}

void BusiestLabels::giveLabel(const std::string &name, Entry &entry)
{
    if (this->namedCount < this->limit) {
        ++this->namedCount;
        entry.named = true;
        return;
    }
    if (entry.weight < MinLead) {
        return;
    }
    auto least = this->entries.end();
    for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
        if (it->second.named && (least == this->entries.end() || it->second.weight < least->second.weight)) {
            least = it;
        }
    }
    if (least == this->entries.end() || entry.weight < least->second.weight * LeadFactor + MinLead) {
        return;
    }
    least->second.named = false;
    entry.named = true;
    std::erase(this->withdrawn, name); // It has its label back before its series were removed.
    this->withdrawn.push_back(least->first);
}

void BusiestLabels::halveIfDue()
{
    if (this->uses < HalvingUses) {
        return;
    }
    this->uses = 0;
    for (auto &[name, entry] : this->entries) {
        entry.weight /= 2;
    }
    std::erase_if(this->entries, [](const auto &item) { return item.second.weight == 0 && !item.second.named; });
}

}
