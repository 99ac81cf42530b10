#include "requestplan.h"

#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

// Longer than the 256 bytes by which the engines identify a prefix, so that caching it saves work.
constexpr std::size_t SharedPrefixBytes = 1200;

void appendFiller(std::string &text, std::size_t size, std::uint64_t seed)
{
    for (std::uint64_t word = 0; text.size() < size; ++word) {
        text += toHex(hash64(std::to_string(word), seed)).substr(0, 7) + " ";
    }
    text.resize(size);
}

}

std::string makePrompt(const RequestPlan &plan)
{
    const std::size_t size = plan.promptTokens * 4;
    std::string prompt;
    if (plan.sharedPrefix && size > SharedPrefixBytes) {
        appendFiller(prompt, SharedPrefixBytes, hash64(plan.workspace));
    }
    appendFiller(prompt, size, plan.seed);
    return prompt;
}

}
