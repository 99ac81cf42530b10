#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Bounds the number of values of a metric's label: the busiest names are labels of their own, all others share one.
/// Earlier uses count less and less. A name takes the label of another only if it is clearly busier, so that series
/// seldom begin and end.
class BusiestLabels
{
public:
    /// Label of the names that have none of their own.
    static constexpr const char *Other = "other";
    /// Number of uses after which the weights of all names are halved. Also bounds the number of names kept, since the
    /// weights of names without a label add up to at most twice this number.
    static constexpr std::uint64_t HalvingUses = 4096;

    /// @param limit number of names that have a label of their own.
    explicit BusiestLabels(std::size_t limit);

    /// Counts one use of @p name and returns its label.
    std::string use(const std::string &name);
    /// Returns the names that have lost their label since the last call. Their series must be removed.
    std::vector<std::string> takeWithdrawn();

private:
    struct Entry
    {
        std::uint64_t weight = 0;
        bool named = false;
    };

    /// Gives @p name a label if one is free or if it is clearly busier than the least busy name that has one.
    void giveLabel(const std::string &name, Entry &entry);
    void halveIfDue();

    std::size_t limit;
    std::size_t namedCount = 0;
    std::uint64_t uses = 0; ///< Since the weights were halved.
    std::map<std::string, Entry> entries;
    std::vector<std::string> withdrawn;
};

}
