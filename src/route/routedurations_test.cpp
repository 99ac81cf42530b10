#include "cyclamencross/route/routedurations.h"

#include "cyclamencross/route/streamsample.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The longest of the latest streams of a route is known although their callers announced no length")
{
    // Guards against a stopping router that knows nothing of streams without an announced length and accepts them all.
    RouteDurations durations;
    CHECK_FALSE(durations.longest("long"));
    durations.record(StreamSample{"long", "llm", 0, 300, 30.0});
    for (std::size_t i = 1; i < RouteDurations::MinCount; ++i) {
        durations.record(StreamSample{"long", "llm", 0, 100, 30.0});
        durations.record(StreamSample{"short", "llm", 0, 10, 30.0});
    }
    durations.record(StreamSample{"short", "llm", 0, 12, 30.0});
    CHECK(durations.longest("long") == Millis(9000));
    CHECK(durations.longest("short") == Millis(360));
}

TEST_CASE("The longest of the latest plain requests of a route is known")
{
    // Guards against a stopping router that accepts requests whose answers slow callers can't read before it exits.
    RouteDurations durations;
    durations.record("plain", Millis(7000));
    for (std::size_t i = 1; i < RouteDurations::MinCount; ++i) {
        CHECK_FALSE(durations.longest("plain"));
        durations.record("plain", Millis(20));
    }
    CHECK(durations.longest("plain") == Millis(7000));
}

TEST_CASE("A few streams say nothing about the longest one")
{
    // Guards against routers that stop seconds after their start and accept streams that outlast them (soak seed 504).
    RouteDurations durations;
    for (std::size_t i = 1; i < RouteDurations::MinCount; ++i) {
        durations.record(StreamSample{"long", "llm", 0, 100, 30.0});
    }
    CHECK_FALSE(durations.longest("long"));
}

TEST_CASE("A long stream is forgotten when enough others have followed it")
{
    RouteDurations durations;
    durations.record(StreamSample{"route", "llm", 0, 300, 30.0});
    for (std::size_t i = 0; i < RouteDurations::Count; ++i) {
        durations.record(StreamSample{"route", "llm", 0, 20, 30.0});
    }
    CHECK(durations.longest("route") == Millis(600));
}

TEST_CASE("A stream sample without events or with an invalid pace is ignored")
{
    RouteDurations durations;
    durations.record(StreamSample{"route", "llm", 0, 0, 30.0});
    durations.record(StreamSample{"route", "llm", 0, 10, -1.0});
    durations.record(StreamSample{"route", "llm", 0, 10, std::numeric_limits<double>::quiet_NaN()});
    for (std::size_t i = 1; i < RouteDurations::MinCount; ++i) {
        durations.record(StreamSample{"route", "llm", 0, 10, 30.0});
    }
    CHECK_FALSE(durations.longest("route"));
}
