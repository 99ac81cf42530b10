#include "cyclamencross/route/namedratelimits.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <limits>
#include <random>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::int64_t UnixStart = 1796400000123;
constexpr double NoLimit = std::numeric_limits<double>::infinity();
constexpr Millis Step{10};
// The window in which a server counts its requests.
constexpr Millis Window{4000};

// Routers that send requests to one server with a limit which they all know.
class Fleet
{
public:
    Fleet(std::size_t count, double requestsPerSecond, unsigned seed)
        : generator(seed)
        , clockOffsets(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::string name = "router-";
            name += std::to_string(i);
            this->hashes.push_back(hash64(name));
        }
        for (std::size_t i = 0; i < count; ++i) {
            this->routers.emplace_back(
                this->hashes[i],
                [this](const std::string & /*backend*/) -> const std::vector<std::uint64_t> & { return this->hashes; },
                [](const std::string & /*backend*/, double /*requestsPerSecond*/, double /*before*/) {});
            this->routers.back().record("e", requestsPerSecond, Start);
            this->clockOffsets[i] = std::int64_t(this->generator() % 100);
        }
    }

    // Plays @p duration in which all routers together want to send @p demandPerSecond requests. A request that may not
    // be sent comes again after a while.
    void play(Millis duration, double demandPerSecond)
    {
        const TimePoint end = this->now + duration;
        for (; this->now < end; this->now += Step) {
            const std::int64_t unixMillis = UnixStart + std::chrono::duration_cast<Millis>(this->now - Start).count();
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                this->routers[i].advance(this->now, unixMillis + this->clockOffsets[i]);
            }
            std::poisson_distribution<int> arrivals(demandPerSecond * toSeconds(Step));
            for (int n = arrivals(this->generator); n > 0; --n) {
                NamedRateLimits &router = this->routers[this->generator() % this->routers.size()];
                if (router.mayRequest("e")) {
                    router.take("e");
                    this->sent.push_back(this->now);
                }
            }
        }
    }

    // Returns the largest number of requests in any window.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto first = this->sent.begin(); first != this->sent.end(); ++first) {
            const auto last = std::lower_bound(first, this->sent.end(), *first + Window);
            most = std::max(most, std::size_t(last - first));
        }
        return most;
    }

    std::mt19937 generator;
    std::vector<std::uint64_t> hashes;
    std::vector<NamedRateLimits> routers;
    std::vector<std::int64_t> clockOffsets; ///< In milliseconds.
    std::vector<TimePoint> sent;
    TimePoint now = Start;
};

NamedRateLimits makeLimits(std::vector<double> *changes = nullptr)
{
    static const std::vector<std::uint64_t> OnlyThis{1};
    return NamedRateLimits(
        1, [](const std::string & /*backend*/) -> const std::vector<std::uint64_t> & { return OnlyThis; },
        [changes](const std::string & /*backend*/, double requestsPerSecond, double /*before*/) {
            if (changes != nullptr) {
                changes->push_back(requestsPerSecond);
            }
        });
}

}

TEST_CASE("All routers together keep to the limit of a server, in bursts after idle times too, and use most of it")
{
    // Guards against routers that each keep to a limit but exceed it together, and against a server that gets nothing.
    for (const std::size_t routers : {1, 15, 300}) {
        for (const double limit : {0.0, 0.5, 1.0, 2.2, 7.6, 23.8, 150.0}) {
            CAPTURE(routers, limit);
            Fleet fleet(routers, limit, 5);
            fleet.play(Millis(6000), 100 * limit + 10);
            fleet.play(Millis(5000), 0);
            fleet.play(Millis(2000), 400 * limit + 40);
            fleet.play(Millis(20000), std::max(20 * limit, double(routers)));
            CHECK(double(fleet.mostInWindow()) <= 1.5 * limit * toSeconds(Window) + 5);
            CHECK(double(fleet.sent.size()) >= 0.5 * limit * 28);
        }
    }
}

TEST_CASE("Clocks that jump, and routers that are not known to all, exceed a limit by less than it allows")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const double limit = seed % 2 == 0 ? 1.0 : 6.0;
        CAPTURE(seed, limit);
        Fleet fleet(20, limit, seed);
        fleet.play(Millis(5000), 100 * limit);
        for (std::size_t i = 0; i < 6; ++i) {
            fleet.clockOffsets[fleet.generator() % 20] += seed % 3 == 0 ? -2000 : 2000;
        }
        fleet.play(Millis(6000), 100 * limit);
        fleet.hashes.erase(fleet.hashes.begin());
        fleet.play(Millis(6000), 100 * limit);
        CHECK(double(fleet.mostInWindow()) <= 1.5 * limit * toSeconds(Window) + 5);
    }
}

TEST_CASE("A limit changes and ends by the latest answer, whatever the order in which news arrive")
{
    std::vector<double> changes;
    NamedRateLimits limits = makeLimits(&changes);
    limits.record("e", NoLimit, Start);
    CHECK(limits.mayRequest("e"));
    CHECK_FALSE(limits.isKnown("e"));
    limits.record("e", 2, Start + Millis(100));
    CHECK_FALSE(limits.mayRequest("e"));
    limits.record("e", NoLimit, Start + Millis(50));
    CHECK_FALSE(limits.mayRequest("e"));
    limits.record("e", NoLimit, Start + Millis(200));
    CHECK(limits.mayRequest("e"));
    limits.record("e", 2, Start + Millis(150));
    CHECK(limits.mayRequest("e"));
    CHECK(limits.count() == 0);
    CHECK(changes == std::vector<double>{2, NoLimit});
    limits.advance(Start + NamedRateLimits::EndLifetime + Millis(300), UnixStart);
    CHECK_FALSE(limits.isKnown("e"));
}

TEST_CASE("A request that was not sent is given back until it expires; a restarted or removed server has no limit")
{
    NamedRateLimits limits = makeLimits();
    limits.record("e", 0, Start); // The lowest rate: at most two requests in the lifetime of a slot.
    limits.advance(Start, UnixStart);
    while (limits.mayRequest("e")) {
        limits.take("e");
    }
    TimePoint now = Start;
    while (!limits.mayRequest("e")) {
        now += Step;
        limits.advance(now, UnixStart + std::chrono::duration_cast<Millis>(now - Start).count());
    }
    const RequestRight right = limits.take("e");
    CHECK_FALSE(limits.mayRequest("e"));
    limits.giveBack("e", right);
    CHECK(limits.mayRequest("e"));
    SECTION("It expires")
    {
        limits.advance(right.expiry, UnixStart);
        CHECK_FALSE(limits.mayRequest("e"));
    }
    SECTION("Restarted")
    {
        limits.forget("e");
        CHECK(limits.mayRequest("e"));
    }
    SECTION("Removed")
    {
        limits.retain([](const std::string & /*backend*/) { return false; });
        CHECK(limits.mayRequest("e"));
    }
}

TEST_CASE("A lowered limit counts at once: no router uses what it has gathered under the earlier one")
{
    // Guards against a server whose need grows and that still gets what its earlier limit allowed.
    for (unsigned seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        Fleet fleet(20, 100, seed);
        fleet.play(Millis(6000), 20);
        for (NamedRateLimits &router : fleet.routers) {
            router.record("e", 1, fleet.now);
        }
        fleet.sent.clear();
        fleet.play(Window, 400);
        // One request a second, and one for the clocks, which differ by up to 0.1 s.
        CHECK(fleet.sent.size() <= 5);
        CHECK(fleet.sent.size() >= 2);
    }
}

TEST_CASE("A server whose limit varies by a few percent gets most of what it allows")
{
    // Guards against routers that lose what they have gathered with each small change.
    for (const double limit : {6.0, 30.0}) {
        CAPTURE(limit);
        Fleet fleet(20, limit, 5);
        std::uniform_real_distribution<double> share(0.95, 1.05);
        for (int step = 0; step < 100; ++step) {
            const double rate = limit * share(fleet.generator);
            for (NamedRateLimits &router : fleet.routers) {
                router.record("e", rate, fleet.now);
            }
            fleet.play(Millis(200), 20 * limit);
        }
        CHECK(double(fleet.sent.size()) >= 0.9 * limit * 20);
        CHECK(double(fleet.mostInWindow()) <= 1.5 * limit * toSeconds(Window) + 5);
    }
}

TEST_CASE("The right to a request that was taken before a limit was lowered does not come back")
{
    // Guards against requests that are chosen for a server, not sent, and counted for its next, lower limit.
    NamedRateLimits limits = makeLimits();
    limits.record("e", 100, Start);
    limits.advance(Start, UnixStart);
    REQUIRE(limits.mayRequest("e"));
    const auto right = limits.take("e");
    SECTION("Lowered")
    {
        limits.record("e", 79, Start + Millis(10));
        CHECK_FALSE(limits.mayRequest("e"));
        limits.giveBack("e", right);
        CHECK_FALSE(limits.mayRequest("e"));
        limits.advance(Start + Millis(100), UnixStart + 100);
        CHECK(limits.mayRequest("e"));
    }
    SECTION("Lowered in small steps")
    {
        for (const double rate : {95.0, 90.0, 85.0, 81.0}) {
            limits.record("e", rate, Start + Millis(10));
            CHECK(limits.mayRequest("e"));
            CHECK(limits.isValid("e", right));
        }
        limits.record("e", 77, Start + Millis(10));
        CHECK_FALSE(limits.isValid("e", right));
        CHECK_FALSE(limits.mayRequest("e"));
    }
    SECTION("Lowered and raised again")
    {
        limits.record("e", 1, Start + Millis(10));
        limits.record("e", 100, Start + Millis(20));
        limits.giveBack("e", right);
        CHECK_FALSE(limits.mayRequest("e"));
    }
    SECTION("Raised, or the same")
    {
        limits.record("e", 101, Start + Millis(10));
        limits.record("e", 101, Start + Millis(20));
        CHECK(limits.mayRequest("e"));
        while (limits.mayRequest("e")) {
            limits.take("e");
        }
        limits.giveBack("e", right);
        CHECK(limits.mayRequest("e"));
    }
}
