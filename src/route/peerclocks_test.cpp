#include "cyclamencross/route/peerclocks.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr Clock::duration Start{std::chrono::hours(1)};
// The clock of this router is ahead of the peer's by this much.
constexpr Millis Ahead{5000};

}

TEST_CASE("Clocks of peers are compared by the fastest report, whatever the others were delayed by")
{
    PeerClocks clocks;
    CHECK_FALSE(clocks.offset("r1", 1, Start));
    Clock::duration sentAt = Start;
    for (const int delay : {400, 3, 900, 12}) {
        clocks.record("r1", 1, sentAt, sentAt + Ahead + Millis(delay));
        sentAt += Millis(100);
    }
    CHECK(clocks.offset("r1", 1, sentAt + Ahead) == Ahead + Millis(3));
    CHECK_FALSE(clocks.offset("r2", 1, sentAt + Ahead));
}

TEST_CASE("Another incarnation of a peer is not measured by the clock of the one before")
{
    // Guards against a router that was replaced by one on another host, whose clock began at another time.
    PeerClocks clocks;
    clocks.record("r1", 1, Start, Start + Ahead);
    CHECK_FALSE(clocks.offset("r1", 2, Start + Ahead));
    clocks.record("r1", 2, Start, Start + Millis(7));
    CHECK(clocks.offset("r1", 2, Start) == Millis(7));
    CHECK_FALSE(clocks.offset("r1", 1, Start));
}

TEST_CASE("A measurement of a peer's clock is forgotten, since clocks differ in speed")
{
    // Guards against a certainty that becomes younger by 0.36 s an hour between hosts whose clocks differ by 100 ppm.
    PeerClocks clocks;
    Clock::duration sentAt = Start;
    Clock::duration lost{0};
    for (int second = 0; second < 3600; ++second) {
        lost += std::chrono::microseconds(100);
        clocks.record("r1", 1, sentAt, sentAt + Ahead + lost + Millis(1));
        sentAt += std::chrono::seconds(1);
    }
    REQUIRE(clocks.offset("r1", 1, sentAt + Ahead));
    CHECK(*clocks.offset("r1", 1, sentAt + Ahead) >= Ahead + Millis(360 - 13));
    CHECK_FALSE(clocks.offset("r1", 1, sentAt + Ahead + 3 * PeerClocks::Window));
}
