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

TEST_CASE("The cache counts the common beginning of two prompts", "[emu]")
{
    // Guards against a stand-in that makes prefix routing look better than it is.
    PrefixCache cache(10000, Millis(0), 0, 1);
    cache.add(longPrompt('a', 1000));
    CHECK(cache.cachedBytes(longPrompt('a', 1000)) == 1000);
    CHECK(cache.cachedBytes(longPrompt('a', 500)) == 500);
    CHECK(cache.cachedBytes(longPrompt('b', 1000)) == 0);
}

TEST_CASE("The cache evicts the prompt used longest ago and reports it", "[emu]")
{
    // Guards against unlimited cache memory and against evictions that no hint holder hears of.
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
    CHECK(events["events"].back()["prefix"] == prefixOf(longPrompt('b', 1000)));
    CHECK(events["next"] == 5);
}

TEST_CASE("Events come late and lost ones leave a gap", "[emu]")
{
    // Guards against stand-ins whose event log is complete, so that the resync after a gap is never exercised.
    PrefixCache late(10000, Millis(60000), 0, 1);
    late.add(longPrompt('a', 1000));
    CHECK(late.events(1)["events"].empty());
    CHECK(late.events(1)["next"] == 1);
    PrefixCache lossy(10000, Millis(0), 1, 1);
    lossy.add(longPrompt('a', 1000));
    CHECK(lossy.events(1)["events"].empty());
    CHECK(lossy.events(1)["next"] == 2);
}
