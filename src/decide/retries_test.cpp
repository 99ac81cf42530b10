#include "cyclamencross/decide/backoff.h"
#include "cyclamencross/decide/outlierejection.h"
#include "cyclamencross/decide/retrybudget.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against retry traffic that outgrows the original traffic, and against retries with a budget of zero.
TEST_CASE("retries stay within their ratio of original requests")
{
    RetryBudget budget(0.2, 10);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.addFresh();
        allowed += budget.takeRetry() ? 1 : 0;
        allowed += budget.takeRetry() ? 1 : 0;
    }
    CHECK(allowed <= 210);
    CHECK(allowed >= 200);
    budget.setShare(0);
    CHECK_FALSE(budget.takeRetry());
}

// Guards against an overflow of the exponent and against delays without jitter.
TEST_CASE("backoff delays grow to the cap with full jitter")
{
    std::mt19937_64 random(7);
    Millis longest{0};
    for (int i = 0; i < 1000; ++i) {
        CHECK(backoffDelay(1, random) <= BackoffBase);
        longest = std::max(longest, backoffDelay(1000, random));
    }
    CHECK(longest <= BackoffCap);
    CHECK(longest > BackoffCap - Millis(20));
}

// Guards against ejecting a whole pool, and against ejections that never end or do not get longer on repeated failures.
TEST_CASE("ejections double in time and are bounded in time and share of the pool")
{
    OutlierEjection ejection;
    const std::vector<std::string> pool{"b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"};
    const TimePoint start{Millis(1000)};
    const auto failThrice = [&ejection](const std::string &backend, TimePoint now) {
        for (int i = 0; i < OutlierEjection::FailuresToEject; ++i) {
            ejection.failure(backend, now);
        }
    };
    failThrice("b0", start);
    CHECK(ejection.filter(pool, start).size() == 9);
    CHECK(ejection.filter(pool, start + Millis(1000)).size() == 10);
    failThrice("b0", start + Millis(1000));
    CHECK(ejection.filter(pool, start + Millis(2999)).size() == 9);
    CHECK(ejection.filter(pool, start + Millis(3000)).size() == 10);
    for (const std::string &backend : pool) {
        failThrice(backend, start + Millis(5000));
    }
    CHECK(ejection.filter(pool, start + Millis(5000)).size() == 7);
    ejection.failure("c", start);
    ejection.failure("c", start);
    ejection.success("c");
    ejection.failure("c", start);
    CHECK(ejection.filter({"c", "x", "y", "z"}, start).size() == 4);
}
