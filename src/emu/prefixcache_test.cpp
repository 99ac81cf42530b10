#include "prefixcache.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Cyclamen;

namespace
{

std::string longPrompt(char first, std::size_t size)
{
    return std::string(256, first) + std::string(size - 256, '.');
}

}

TEST_CASE("The cache counts the common prefix of two prompts", "[emu]")
{
    // Guards against an emulated engine that reports more cache hits than there are, which would overstate the benefit
    // of prefix routing.
    PrefixCache cache(10000, Millis(0), 0, 1);
    cache.add(longPrompt('a', 1000));
    CHECK(cache.cachedBytes(longPrompt('a', 1000)) == 1000);
    CHECK(cache.cachedBytes(longPrompt('a', 500)) == 500);
    CHECK(cache.cachedBytes(longPrompt('b', 1000)) == 0);
}

TEST_CASE("The cache evicts the least recently used prompt and reports the eviction", "[emu]")
{
    // Guards against unlimited cache memory and against evictions that are not reported to routers with prefix hints.
    PrefixCache cache(2500, Millis(0), 0, 1);
    cache.add(longPrompt('a', 1000));
    cache.add(longPrompt('b', 1000));
    cache.add(longPrompt('a', 1000));
    cache.add(longPrompt('c', 1000));
    CHECK(cache.cachedBytes(longPrompt('b', 1000)) == 0);
    CHECK(cache.cachedBytes(longPrompt('a', 1000)) == 1000);
    const nlohmann::json events = cache.events(1);
    REQUIRE(events["events"].size() == 4);
    CHECK(events["events"].back()["op"] == "evict");
    CHECK(events["events"].back()["prefix"] == prefixHash(longPrompt('b', 1000)));
    CHECK(events["next"] == 5);
}

TEST_CASE("Events are delayed and lost events leave a gap in the sequence", "[emu]")
{
    // Guards against an event log that is always complete, so that tests never exercise the resync after a gap.
    PrefixCache late(10000, Millis(60000), 0, 1);
    late.add(longPrompt('a', 1000));
    CHECK(late.events(1)["events"].empty());
    CHECK(late.events(1)["next"] == 1);
    PrefixCache lossy(10000, Millis(0), 1, 1);
    lossy.add(longPrompt('a', 1000));
    CHECK(lossy.events(1)["events"].empty());
    CHECK(lossy.events(1)["next"] == 2);
}
