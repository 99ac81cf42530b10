#include "asioutil.h"
#include "fleetcodecfixture_test.h"
#include "fleetsync.h"
#include "peerreport.h"
#include "routerstate.h"
#include "stageplancodec.h"
#include "versioncodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr std::uint64_t Before = 1; // Generation of the store before its return.
constexpr std::uint64_t After = 2;
const StoreRevision Known(Before, 10);

// A router that has read the given items from the store at revision Known.
struct InformedRouter
{
    explicit InformedRouter(std::vector<StoreItem> items)
    {
        StateStore store;
        store.list = [items](std::string /*prefix*/) -> StoreAwaitable<StorePage> {
            co_return StorePage{items, Known};
        };
        store.watch = [this](std::string /*prefix*/, StoreRevision after,
                             Millis /*wait*/) -> StoreAwaitable<StorePage> {
            while (!this->page || this->page->revision == after) {
                co_await sleepFor(Millis(10));
            }
            co_return *this->page;
        };
        store.cancelWatch = [] {};
        this->sync = std::make_unique<FleetSync>(this->state, store, makeFixtureCodec());
        boost::asio::co_spawn(this->context, this->sync->follow(""), boost::asio::detached);
        this->context.run_for(Millis(50));
    }

    // Reports the difference to the store after its return, as a watcher of the group.
    void reportReturn(const std::vector<StoreItem> &items)
    {
        this->state.onPeerChanges(StoreChanges{Known, StoreRevision(After, 5), true, items});
    }

    std::optional<StorePage> page; ///< Answer to watches.
    boost::asio::io_context context;
    RouterState state{context.get_executor(), RouterSettings(), 1};
    std::unique_ptr<FleetSync> sync;
};

ServiceVersions twoVersions()
{
    return ServiceVersions()
        .with("llm", "v1", ServiceVersions::State::Open)
        .with("llm", "v2", ServiceVersions::State::Open);
}

}

TEST_CASE("Service versions that the copy of a returned store lacks stay known and are written again")
{
    // Guards against streams of a version that was recorded after the copy was taken, which go on at another one
    // (ORDER).
    const std::string key = FleetSync::serviceVersionsKey();
    InformedRouter router({StoreItem{key, encodeServiceVersions(twoVersions()), Known}});
    REQUIRE(router.state.serviceVersions == twoVersions());
    SECTION("The copy has an older record")
    {
        const ServiceVersions older = twoVersions().without("llm", "v2");
        router.reportReturn({StoreItem{key, encodeServiceVersions(older), StoreRevision(After, 3)}});
        CHECK(router.state.serviceVersionsRevision == StoreRevision(After, 3));
    }
    SECTION("The copy has no record")
    {
        router.reportReturn({StoreItem{key, "", StoreRevision(After, 5), true}});
        CHECK(router.state.serviceVersionsRevision == StoreRevision());
    }
    CHECK(router.state.serviceVersions == twoVersions());
    CHECK(router.state.serviceVersionsUnwritten);
    router.state.onPeerChanges(
        StoreChanges{StoreRevision(After, 5),
                     StoreRevision(After, 6),
                     false,
                     {StoreItem{key, encodeServiceVersions(twoVersions()), StoreRevision(After, 6)}}});
    CHECK_FALSE(router.state.serviceVersionsUnwritten);
}

TEST_CASE("The stage plan that is known replaces that in the copy of a returned store")
{
    // Guards against engines that get no requests, or are ordered back, by a plan that was replaced before the return.
    const std::string key = FleetSync::stagePlanKey();
    const StagePlan plan{{{"e1", EngineStage::Decode}}};
    InformedRouter router({StoreItem{key, encodeStagePlan(plan), Known}});
    REQUIRE(router.state.stagePlan == plan);
    const StagePlan older{{{"e1", EngineStage::Prefill}}};
    router.reportReturn({StoreItem{key, encodeStagePlan(older), StoreRevision(After, 3)}});
    CHECK(router.state.stagePlan == plan);
    CHECK(router.state.stagePlanUnwritten);
    const StagePlan newer{{{"e2", EngineStage::Prefill}}};
    router.state.onPeerChanges(StoreChanges{StoreRevision(After, 5),
                                            StoreRevision(After, 6),
                                            false,
                                            {StoreItem{key, encodeStagePlan(newer), StoreRevision(After, 6)}}});
    CHECK(router.state.stagePlan == newer);
    CHECK_FALSE(router.state.stagePlanUnwritten);
}

TEST_CASE("A difference over a return of the store keeps a missing entry for a while and not a removed one")
{
    // Guards against both sound backend servers that are dropped at once and removed ones that are kept (DRAIN).
    InformedRouter router({StoreItem{"servers/a", "x", Known}, StoreItem{"servers/b", "x", Known}});
    router.reportReturn({StoreItem{"servers/a", "", StoreRevision(After, 5), true}});
    CHECK(router.state.backends.find("a") != nullptr);
    router.state.onPeerChanges(StoreChanges{StoreRevision(After, 5),
                                            StoreRevision(After, 6),
                                            false,
                                            {StoreItem{"servers/b", "", StoreRevision(After, 6), true}}});
    CHECK(router.state.backends.find("b") == nullptr);
    CHECK(router.state.storeRevision == StoreRevision(After, 6));
}

TEST_CASE("Fencing tokens grow with each return of the store and start as those of earlier releases")
{
    // Guards against tokens that fall when the store returns, or when an earlier release leads in an upgrade (ONE).
    InformedRouter router({});
    RouterState &state = router.state;
    const auto tokenOf = [&state](std::optional<std::uint64_t> lowest, const StoreRevision &record) {
        state.lowestGeneration = lowest;
        state.leadership.revision = record;
        return state.fencingToken();
    };
    CHECK(tokenOf(std::nullopt, StoreRevision(77)) == 77);
    CHECK(tokenOf(0, StoreRevision(0, 77)) == 77);
    CHECK(tokenOf(1, StoreRevision(1, 77)) == 77);
    CHECK(tokenOf(0, StoreRevision(1, 1)) > 1'000'000'000);
    CHECK(tokenOf(1, StoreRevision(2, 1)) > 1'000'000'000);
    // A router that starts after returns has not seen the first generation.
    CHECK(tokenOf(3, StoreRevision(3, 1)) == tokenOf(1, StoreRevision(3, 1)));
    CHECK(tokenOf(3, StoreRevision(3, 1)) > tokenOf(1, StoreRevision(2, 1'000'000)));
}

TEST_CASE("An answer of the store that names no generation confirms nothing once one is known")
{
    // Guards against changes that are ignored for their generation and yet count as known (DRAIN, CONFIG).
    InformedRouter router({});
    REQUIRE(router.state.storeGeneration == Before);
    const auto certain = router.state.freshness.confirmedAt();
    router.page = StorePage{{StoreItem{"servers/b", "x", 11}}, 11};
    router.context.run_for(Millis(300));
    CHECK(router.state.freshness.confirmedAt() == certain);
    router.page = StorePage{{StoreItem{"servers/b", "x", {Before, 11}}}, {Before, 11}};
    router.context.run_for(Millis(2000));
    CHECK(router.state.backends.find("b") != nullptr);
}

TEST_CASE("What a router that knows no generations says of changes counts until the store has returned")
{
    // Guards against certainty and changes of releases that take numbers which were given out again for known ones.
    const bool hasReturned = GENERATE(false, true);
    InformedRouter router({StoreItem{"servers/a", "x", Known}});
    if (hasReturned) {
        router.reportReturn({});
    }
    PeerReport report;
    report.router = "peer";
    report.incarnation = 1;
    report.sequence = 1;
    report.watching = true;
    const std::uint64_t known = router.state.storeRevision.number();
    report.storeRevision = known + 1;
    report.changes = StoreChanges{known, known + 1, false, {StoreItem{"servers/b", "x", known + 1}}};
    PeerReport received;
    REQUIRE(decodePeerReport(encodePeerReport(report, 0), received));
    REQUIRE_FALSE(received.namesGenerations);
    router.state.applyReport(received, Clock::now());
    CHECK((router.state.backends.find("b") != nullptr) != hasReturned);
    CHECK(router.state.hasLiveWatcher(Clock::now()) != hasReturned);
}
