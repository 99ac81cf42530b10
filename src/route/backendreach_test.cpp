#include "cyclamencross/route/backendreach.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A router counts as cut off once several backend servers in a row accept no connection")
{
    // Guards against a router that takes one dead or silent server for a partition.
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordUnreachable("s", "a", now);
    reach.recordUnreachable("s", "a", now);
    reach.recordUnreachable("s", "b", now);
    CHECK_FALSE(reach.isCutOff("s", 12, now));
    reach.recordUnreachable("s", "c", now);
    CHECK(reach.isCutOff("s", 12, now));
    CHECK_FALSE(reach.isCutOff("t", 12, now));
    reach.recordReached("s");
    CHECK_FALSE(reach.isCutOff("s", 12, now));
    reach.recordUnreachable("s", "a", now);
    CHECK_FALSE(reach.isCutOff("s", 12, now));
}

TEST_CASE("All backend servers of a small service must be out of reach, and a single one never shows a partition")
{
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordUnreachable("s", "a", now);
    CHECK_FALSE(reach.isCutOff("s", 1, now));
    CHECK_FALSE(reach.isCutOff("s", 2, now));
    reach.recordUnreachable("s", "b", now);
    CHECK(reach.isCutOff("s", 2, now));
}

TEST_CASE("A partition is forgotten unless further attempts confirm it")
{
    // Guards against a router that avoids sound servers for ever because it asks none of them any more.
    BackendReach reach;
    const TimePoint now = Clock::now();
    for (const char *backend : {"a", "b", "c"}) {
        reach.recordUnreachable("s", backend, now);
    }
    reach.recordUnreachable("s", "a", now + BackendReach::Memory);
    CHECK(reach.isCutOff("s", 12, now + 2 * BackendReach::Memory));
    CHECK_FALSE(reach.isCutOff("s", 12, now + 3 * BackendReach::Memory));
    CHECK(reach.services(now + 3 * BackendReach::Memory).empty());
}
