#include "cyclamencross/route/stageloads.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The load of all engines is the mean over the groups that are known, by their engines")
{
    // Guards against engines of all zones that change their stage because one zone has a burst.
    const StageLoad busy{8, 15, 16, 0.9, 1};
    const StageLoad idle{24, 43, 0, 0.1, 1};
    CHECK(StageLoads::ofAll({busy}, 32, 58).prefillRequests == Approx(64));
    const StageLoad all = StageLoads::ofAll({busy, idle}, 32, 58);
    CHECK(all.prefillRequests == Approx(16));
    CHECK(all.decodeUse == Approx((0.9 * 15 + 0.1 * 43) / 58));
    CHECK(all.prefillEngines == 32);
    CHECK(all.decodeEngines == 58);
    CHECK(StageLoads::ofAll({StageLoad()}, 4, 4) == StageLoad{4, 4, 0, 0, 1});
    CHECK(StageLoads::ofAll({}, 4, 4) == StageLoad{4, 4, 0, 0, 1});
}
