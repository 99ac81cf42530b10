#include "requestplan.h"

#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

// The engines' prefix is the first 256 bytes; a shared text must be longer to be worth caching.
constexpr std::size_t SharedPrefixBytes = 1200;

void extend(std::string &text, std::size_t size, std::uint64_t seed)
{
    for (std::uint64_t word = 0; text.size() < size; ++word) {
        text += toHex(hash64(std::to_string(word), seed)).substr(0, 7) + " ";
    }
    text.resize(size);
}

}

std::string promptOf(const RequestPlan &plan)
{
    const std::size_t size = plan.promptTokens * 4;
    std::string prompt;
    if (plan.sharedPrefix && size > SharedPrefixBytes) {
        extend(prompt, SharedPrefixBytes, hash64(plan.workspace));
    }
    extend(prompt, size, plan.seed);
    return prompt;
}

}
