#include "containmentcodec.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr std::int64_t UnixNow = 1000000;

}

TEST_CASE("Containments round-trip, whatever bytes the suspects have")
{
    std::map<std::string, Containment> containments;
    containments["part:5c1e07a2"] = Containment{Now - Millis(3000), Millis(60000), TimePoint()};
    containments["part:a\"b"] = Containment{Now, Millis(120000), TimePoint()};
    containments["request:1"] = Containment{Now, Millis(120000), TimePoint(), Millis(250)};
    CHECK(decodeContainments(encodeContainments(containments, Now, UnixNow), Now, UnixNow) == containments);
    containments["part:\xff"] = Containment{Now, Millis(120000), TimePoint()};
    CHECK(decodeContainments(encodeContainments(containments, Now, UnixNow), Now, UnixNow)->size() == 4);
    // Earlier builds do not write how the crashes came.
    const std::string earlier = R"({"suspects":{"a":{"crashed_at":1000000,"period_s":60}}})";
    CHECK(decodeContainments(earlier, Now, UnixNow)->at("a").outputTime == Millis(0));
}

TEST_CASE("A wall clock that jumps neither ends a containment nor extends it beyond its period")
{
    // Guards against a host whose time of day is wrong: it would send crashing requests, or refuse for too long.
    const std::map<std::string, Containment> stored{{"part:a", {Now, Millis(60000), TimePoint()}}};
    const std::string text = encodeContainments(stored, Now, UnixNow);
    for (const std::int64_t shift : {std::int64_t(-100000), std::int64_t(100000), std::int64_t(0)}) {
        const Containment decoded = decodeContainments(text, Now, UnixNow + shift)->at("part:a");
        CHECK(decoded.crashedAt <= Now);
        CHECK(decoded.crashedAt + decoded.period >= Now);
    }
}

TEST_CASE("Malformed containments are rejected")
{
    for (const char *text : {"", "[]", "{}", R"({"suspects":[]})", R"({"suspects":{"a":1}})",
                             R"({"suspects":{"a":{"crashed_at":"x","period_s":1}}})", R"({"suspects":{"a":{}}})"}) {
        CHECK_FALSE(decodeContainments(text, Now, UnixNow).has_value());
    }
    const std::string extreme =
        R"({"suspects":{"a":{"crashed_at":-9223372036854775808,"period_s":9223372036854775807}}})";
    CHECK(decodeContainments(extreme, Now, UnixNow).has_value());
}
