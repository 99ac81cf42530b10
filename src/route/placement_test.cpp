#include "cyclamencross/route/placement.h"

#include "cyclamencross/route/placementcandidate.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A server that has told another router to pause is used if the others are much fuller")
{
    // Guards against a pause of one router that takes the work of all from a server, and against one without effect.
    std::vector<PlacementCandidate> candidates(2);
    candidates[0].server.id = "paused";
    candidates[0].isPausedForPeer = true;
    candidates[1].server.id = "other";
    candidates[0].server.slots = candidates[1].server.slots = 10;
    const auto choose = [&candidates](std::int64_t requestsAtOther) {
        candidates[1].work.requests = requestsAtOther;
        const auto choice =
            Placement::choosePlain(candidates, std::numeric_limits<double>::infinity(), [] { return 0.0; });
        return candidates[choice.value()].server.id;
    };
    CHECK(choose(0) == "other");
    CHECK(choose(2) == "other");
    CHECK(choose(3) == "paused");
    candidates.pop_back();
    CHECK(Placement::choosePlain(candidates, 1, [] { return 0.0; }) == std::optional<std::size_t>(0));
}
