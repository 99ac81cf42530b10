#include "cyclamencross/route/backendreach.h"

#include "cyclamencross/route/backendserver.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// Returns so many backend servers with the identifiers "a", "b" and so on.
std::vector<BackendServer> servers(int count)
{
    std::vector<BackendServer> result;
    for (int i = 0; i < count; ++i) {
        result.emplace_back().id = std::string(1, char('a' + i));
    }
    return result;
}

}

TEST_CASE("A router counts as cut off once several backend servers in a row accept no connection")
{
    // Guards against a router that takes one dead or silent server for a partition.
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordUnreachable("s", "a", now);
    reach.recordUnreachable("s", "a", now);
    reach.recordUnreachable("s", "b", now);
    CHECK_FALSE(reach.isCutOff("s", servers(12), now));
    reach.recordUnreachable("s", "c", now);
    CHECK(reach.isCutOff("s", servers(12), now));
    CHECK_FALSE(reach.isCutOff("t", servers(12), now));
    reach.recordReached("s", "d");
    CHECK_FALSE(reach.isCutOff("s", servers(12), now));
    reach.recordUnreachable("s", "a", now);
    CHECK_FALSE(reach.isCutOff("s", servers(12), now));
}

TEST_CASE("All backend servers of a small service must be out of reach, and a single one never shows a partition")
{
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordUnreachable("s", "a", now);
    CHECK_FALSE(reach.isCutOff("s", servers(1), now));
    CHECK_FALSE(reach.isCutOff("s", servers(2), now));
    reach.recordUnreachable("s", "b", now);
    CHECK(reach.isCutOff("s", servers(2), now));
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
    CHECK(reach.isCutOff("s", servers(12), now + 2 * BackendReach::Memory));
    CHECK_FALSE(reach.isCutOff("s", servers(12), now + 3 * BackendReach::Memory));
    CHECK(reach.services(now + 3 * BackendReach::Memory).empty());
}

TEST_CASE("A router that has just reached a backend server is not cut off when others fail")
{
    // Guards against routers that hand on their requests and leave the directory while a part of the servers is down.
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordReached("s", "e");
    for (const char *backend : {"a", "b", "c", "d"}) {
        reach.recordUnreachable("s", backend, now);
    }
    CHECK(reach.mayBeCutOff("s", 5, now));
    CHECK_FALSE(reach.isCutOff("s", servers(5), now));
    reach.recordUnreachable("s", "e", now);
    CHECK(reach.isCutOff("s", servers(5), now));
}

TEST_CASE("A backend server that has gone since it was reached does not hide a partition")
{
    BackendReach reach;
    const TimePoint now = Clock::now();
    reach.recordReached("s", "e");
    for (const char *backend : {"a", "b", "c"}) {
        reach.recordUnreachable("s", backend, now);
    }
    CHECK(reach.isCutOff("s", servers(4), now));
}
