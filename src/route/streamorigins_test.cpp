#include "cyclamencross/route/streamorigins.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const auto Always = [](const std::string & /*service*/) { return true; };
const auto Never = [](const std::string & /*service*/) { return false; };

}

TEST_CASE("A stream is known by its service, its workspace and the attempt that began it")
{
    // Guards against callers that name the stream of another caller, or of another service.
    const std::uint64_t key = StreamOrigins::keyOf("s", "w", "id");
    CHECK(key != StreamOrigins::keyOf("t", "w", "id"));
    CHECK(key != StreamOrigins::keyOf("s", "x", "id"));
    CHECK(key != StreamOrigins::keyOf("s", "w", "ie"));
    CHECK(StreamOrigins::keyOf("s", "", "wid") != StreamOrigins::keyOf("s", "w", "id"));
}

TEST_CASE("Streams are told to peers in two reports, also those that began before it was needed")
{
    // Guards against streams that cannot be taken up because they began just before a second version came, or because
    // one datagram was lost.
    const TimePoint now;
    StreamOrigins origins;
    origins.begin("s", 1, "v1", Millis(5000), now);
    CHECK(origins.takeUntold(Never, now).empty());
    const StreamOriginsByVersion expected{{"v1", {StreamOrigin{1, Millis(4000)}}}};
    CHECK(origins.takeUntold(Always, now + Millis(1000)) == expected);
    CHECK(origins.takeUntold(Always, now + Millis(1000)) == expected);
    CHECK(origins.takeUntold(Always, now + Millis(1000)).empty());
    StreamOrigins peer;
    CHECK(peer.learn(expected, false, now));
    CHECK_FALSE(peer.learn(expected, false, now));
    REQUIRE(peer.find(1) != nullptr);
    CHECK(*peer.find(1) == "v1");
    CHECK(peer.takeUntold(Always, now).empty());
}

TEST_CASE("Streams stay to be recorded until they are in the store")
{
    // Guards against streams that nobody records after a failed write, and records that are written again and again.
    const TimePoint now;
    StreamOrigins origins;
    origins.begin("s", 1, "v1", Millis(5000), now);
    origins.learn({{"v2", {StreamOrigin{2, Millis(5000)}}}}, false, now);
    origins.learn({{"v2", {StreamOrigin{3, Millis(5000)}}}}, true, now);
    CHECK(origins.unstored(Always, Millis(1), now).empty());
    const auto unstored = origins.unstored(Always, Millis(0), now);
    CHECK(unstored
          == StreamOriginsByVersion{{"v1", {StreamOrigin{1, Millis(5000)}}}, {"v2", {StreamOrigin{2, Millis(5000)}}}});
    CHECK(origins.unstored(Always, Millis(0), now) == unstored);
    CHECK(origins.learn({{"v2", {StreamOrigin{2, Millis(5000)}}}}, true, now) == false);
    CHECK(origins.unstored(Always, Millis(0), now) == StreamOriginsByVersion{{"v1", {StreamOrigin{1, Millis(5000)}}}});
    origins.markStored(unstored);
    CHECK(origins.unstored(Always, Millis(0), now).empty());
}

TEST_CASE("Streams are forgotten when they cannot be taken up any more, and bounded in number")
{
    // Guards against memory that grows with the number of streams of a day, or with what peers tell.
    const TimePoint now;
    StreamOrigins origins;
    origins.begin("s", 1, "v1", Millis(1000), now);
    origins.begin("s", 2, "v1", std::chrono::hours(1), now);
    origins.learn({{"v1", {StreamOrigin{3, Millis(-1)}}}}, false, now);
    CHECK(origins.size() == 2);
    origins.expire(now + Millis(1000));
    CHECK(origins.find(1) == nullptr);
    CHECK(origins.find(2) != nullptr);
    origins.expire(now + StreamOrigins::MaxLifetime);
    CHECK(origins.size() == 0);
    for (std::uint64_t key = 0; key < StreamOrigins::MaxStreams + 10; ++key) {
        origins.begin("s", key, "v1", Millis(1000), now);
    }
    CHECK(origins.size() == StreamOrigins::MaxStreams);
    CHECK(origins.takeUntold(Always, now).at("v1").size() == StreamOrigins::MaxTold);
}
