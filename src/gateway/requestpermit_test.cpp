#include "requestpermit.h"

#include "cyclamencross/route/namedratelimits.h"

#include <cstdint>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::int64_t UnixStart = 1796400000123;

std::shared_ptr<NamedRateLimits> makeLimits()
{
    static const std::vector<std::uint64_t> OnlyThis{1};
    return std::make_shared<NamedRateLimits>(
        1, [](const std::string & /*backend*/) -> const std::vector<std::uint64_t> & { return OnlyThis; },
        [](const std::string & /*backend*/, double /*requestsPerSecond*/, double /*before*/) {});
}

}

TEST_CASE("A permit that waits while the limit is lowered is sent with only if the lower limit has another one")
{
    // Guards against requests that wait for a connection or a prefill and are then sent by an earlier, higher limit, or
    // by none.
    const bool hadLimit = GENERATE(false, true);
    CAPTURE(hadLimit);
    const auto limits = makeLimits();
    if (hadLimit) {
        limits->record("e", 100, Start);
        limits->advance(Start, UnixStart);
    }
    RequestPermit permit(limits, "e");
    CHECK(permit.renew());
    limits->record("e", 50, Start + Millis(10));
    CHECK_FALSE(permit.renew());
    limits->advance(Start + Millis(100), UnixStart + 100);
    CHECK(permit.renew());
    while (limits->mayRequest("e")) {
        limits->take("e");
    }
    CHECK(permit.renew()); // It has the right that it took, and takes no second one.
}
