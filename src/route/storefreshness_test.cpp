#include "cyclamencross/route/storefreshness.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A router reads the store once its certainty is too old, standby watchers first")
{
    // Guards against routers that trust a watcher which the store does not answer any more (review case 3).
    StoreFreshness freshness;
    const TimePoint start = Clock::now();
    CHECK(freshness.isReadDue(5, start));
    freshness.confirm(start);
    for (const std::size_t rank : {0U, 1U, 2U, 3U, 20U}) {
        CHECK_FALSE(freshness.isReadDue(rank, start + Millis(600)));
        CHECK(freshness.isReadDue(rank, start + StoreFreshness::MaxAge));
    }
    CHECK(freshness.isReadDue(1, start + Millis(800)));
    CHECK_FALSE(freshness.isReadDue(2, start + Millis(800)));
    CHECK(freshness.isReadDue(2, start + Millis(900)));
    CHECK_FALSE(freshness.isReadDue(3, start + Millis(900)));
}

TEST_CASE("An older confirmation does not replace a newer one")
{
    StoreFreshness freshness;
    const TimePoint start = Clock::now();
    freshness.confirm(start);
    freshness.confirm(start - Millis(500));
    CHECK(freshness.confirmedAt() == start);
}

TEST_CASE("The watches of a primary watcher keep its group certain although changes end them early")
{
    // Guards against standbys that read the store again and again because each change ends a watch long before the
    // time that its answer confirms: all that is known is when the call began.
    StoreFreshness freshness;
    const TimePoint start = Clock::now();
    freshness.confirm(start);
    CHECK(freshness.watchWait(start) == StoreFreshness::WatchWait);
    const Millis batchDelay{150};
    const Millis report{100};
    for (const Millis changeAfter : {Millis(1), Millis(100), StoreFreshness::WatchWait - Millis(1)}) {
        const TimePoint next = start + changeAfter + batchDelay;
        const TimePoint confirmed = next + freshness.watchWait(next) + report;
        CHECK_FALSE(freshness.isReadDue(1, confirmed));
    }
}

TEST_CASE("The store counts as away only if neither this router nor a peer had an answer")
{
    // Guards against removed backend servers that are kept although only this router was rejected (review case 5).
    const TimePoint start = Clock::now();
    StoreFreshness freshness;
    freshness.recordAnswer(start);
    for (int i = 1; i <= 6; ++i) {
        freshness.recordAnswer(start + Millis(1000) * i); // Told by a peer.
    }
    freshness.recordAnswer(start + Millis(3000));
    CHECK_FALSE(freshness.outageEndedAt());
    freshness.recordAnswer(start + Millis(6000) + StoreFreshness::MinOutage);
    CHECK(freshness.outageEndedAt() == start + Millis(6000) + StoreFreshness::MinOutage);
}

TEST_CASE("Removed keys are known for certain until the revoke time less a margin")
{
    // Guards against a request that is decided in time but arrives after the bound.
    constexpr Millis RevokeTime{3000};
    StoreFreshness freshness;
    const TimePoint start = Clock::now();
    CHECK_FALSE(freshness.knowsRevokedKeys(RevokeTime, start));
    freshness.confirm(start);
    CHECK(freshness.knowsRevokedKeys(RevokeTime, start + RevokeTime - StoreFreshness::RevokeMargin));
    CHECK_FALSE(freshness.knowsRevokedKeys(RevokeTime, start + RevokeTime - StoreFreshness::RevokeMargin + Millis(1)));
    // A bound shorter than the margin still lets a certain router serve.
    CHECK(freshness.knowsRevokedKeys(Millis(200), start + Millis(100)));
    CHECK_FALSE(freshness.knowsRevokedKeys(Millis(200), start + Millis(101)));
}
