#include "asioutil.h"
#include "fleetcodecfixture_test.h"
#include "fleetsync.h"
#include "peerreport.h"
#include "routerstate.h"

#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

StoreAwaitable<StorePage> block()
{
    co_await sleepFor(Millis(100000));
    co_return StorePage{};
}

// A router with a store that gives prepared answers to its lists, one after another, the last one again and again.
struct ScriptedRouter
{
    ScriptedRouter()
    {
        this->store.cancelWatch = [] {};
        this->store.list = [this](std::string /*prefix*/) -> StoreAwaitable<StorePage> {
            const std::size_t next = std::min(this->lists++, this->pages.size() - 1);
            co_return this->pages[next];
        };
        this->store.readChanges = [](std::string /*prefix*/, StoreRevision after) -> StoreAwaitable<StorePage> {
            co_return StorePage{{}, after};
        };
    }

    // The first watch ends because the store has returned as that of @p generation; later ones wait.
    void returnDuringFirstWatch(std::uint64_t generation)
    {
        this->store.watch = [this, generation](std::string /*prefix*/, StoreRevision /*after*/, Millis /*wait*/) {
            if (this->watches++ > 0) {
                return block();
            }
            return [](std::uint64_t returned) -> StoreAwaitable<StorePage> {
                co_await sleepFor(Millis(50));
                co_return StoreFailure{StoreFailure::Kind::HistoryCompacted, "", returned};
            }(generation);
        };
    }

    void start()
    {
        this->state.settings.name = "own";
        this->sync = std::make_unique<FleetSync>(this->state, this->store, makeFixtureCodec());
        boost::asio::co_spawn(this->context, this->sync->follow(""), boost::asio::detached);
    }

    std::vector<StorePage> pages;
    std::size_t lists = 0;
    std::size_t watches = 0;
    std::unique_ptr<FleetSync> sync;
    boost::asio::io_context context;
    RouterState state{context.get_executor(), RouterSettings(), 1};
    StateStore store;
};

StoreItem serverItem(StoreRevision revision)
{
    return StoreItem{"servers/a", "x", revision, false};
}

}

TEST_CASE("A watch from a position of the former generation does not hide changes once a peer has told of the return")
{
    // Guards against changes between the return and the old position that a router takes for known (DRAIN).
    ScriptedRouter router;
    router.pages = {StorePage{{}, {1, 500}}, StorePage{{serverItem({2, 495})}, {2, 501}}};
    router.store.watch = [&router](std::string /*prefix*/, StoreRevision after, Millis /*wait*/) {
        if (router.watches++ > 0) {
            return block();
        }
        return [](StoreRevision position) -> StoreAwaitable<StorePage> {
            co_await sleepFor(Millis(100)); // The store has given out the numbers up to the position again.
            CHECK(position == StoreRevision(1, 500));
            co_return StorePage{{StoreItem{"other", "x", {2, 501}, false}}, {2, 501}};
        }(after);
    };
    router.start();
    router.context.run_for(Millis(50));
    router.state.onPeerChanges(StoreChanges{{1, 500}, {2, 490}, true, {StoreItem{"other", "x", {2, 490}, false}}});
    REQUIRE(router.state.storeRevision == StoreRevision(2, 490));
    router.context.run_for(Millis(500));
    CHECK(router.state.backends.find("a") != nullptr);
}

TEST_CASE("An entry of the copy that is held is not used if a later list lacks it")
{
    // Guards against requests at a server that has left, whose removal a router learns from a list only (DRAIN).
    ScriptedRouter router;
    router.pages = {StorePage{{serverItem({1, 5})}, {1, 10}}, StorePage{{serverItem({2, 5})}, {2, 6}},
                    StorePage{{}, {2, 20}}};
    router.store.watch = [&router](std::string /*prefix*/, StoreRevision /*after*/, Millis /*wait*/) {
        const std::size_t number = router.watches++;
        if (number > 2) {
            return block();
        }
        return [](bool isFirst) -> StoreAwaitable<StorePage> {
            co_await sleepFor(Millis(20));
            if (isFirst) {
                co_return StorePage{{StoreItem{"servers/a", "", {1, 11}, true}}, {1, 11}};
            }
            co_return StoreFailure{StoreFailure::Kind::HistoryCompacted, "", 2};
        }(number == 0);
    };
    router.start();
    router.context.run_for(Millis(1000));
    REQUIRE(router.lists == 3);
    REQUIRE(router.state.backends.find("a") == nullptr);
    router.context.run_for(FleetSync::LapseGracePeriod);
    router.sync->expire(Clock::now());
    CHECK(router.state.backends.find("a") == nullptr);
}

TEST_CASE("A router registers although a peer has named a generation that the store does not have")
{
    // Guards against one wrong datagram that keeps a router from registering, leading and writing until it restarts.
    ScriptedRouter router;
    router.pages = {StorePage{{}, {1, 10}}};
    router.store.watch = [](std::string /*prefix*/, StoreRevision /*after*/, Millis /*wait*/) { return block(); };
    router.store.grantLease = [](Millis /*lifetime*/) -> StoreAwaitable<StoreLease> { co_return StoreLease{7, 1}; };
    router.store.write = [](std::string /*key*/, std::string /*value*/,
                            std::uint64_t /*lease*/) -> StoreAwaitable<StoreRevision> {
        co_return StoreRevision(1, 11);
    };
    PeerReport report;
    report.router = "peer";
    report.sequence = 1;
    report.storeRevision = StoreRevision(9, 10);
    router.start();
    boost::asio::co_spawn(router.context, router.sync->catchUp(""), boost::asio::detached);
    router.context.run_for(Millis(50));
    router.state.applyReport(report, Clock::now());
    router.context.run_for(Millis(1500)); // The router reads the store, which is of generation 1.
    boost::asio::co_spawn(router.context, router.sync->keepRegistered(), boost::asio::detached);
    router.context.run_for(Millis(1500));
    CHECK(router.state.members.find("own") != nullptr);
}

TEST_CASE("Records of where streams began are written again after a return of the store")
{
    // Guards against routers that start after the return and refuse streams, or let them go on at another version.
    ScriptedRouter router;
    router.pages = {StorePage{{}, {1, 10}}, StorePage{{}, {2, 5}}};
    router.returnDuringFirstWatch(2);
    const auto isNeeded = [](const std::string & /*service*/) { return true; };
    StreamOrigins &origins = router.state.streamOrigins;
    origins.begin("s", 7, "v1", Millis(60000), Clock::now());
    origins.markStored(origins.unstored(isNeeded, Millis(0), Clock::now()));
    router.start();
    router.context.run_for(Millis(300));
    REQUIRE(router.state.storeGeneration == 2);
    CHECK(!origins.unstored(isNeeded, Millis(0), Clock::now()).empty());
}

TEST_CASE("Fencing tokens do not fall when all routers that have seen the first generation are gone")
{
    // Guards against engines that refuse all orders, or follow two leaders (ONE), once all routers have restarted after
    // the return of a store whose first generation is 0, or which has begun to name generations.
    ScriptedRouter before;
    before.pages = {StorePage{{}, {0, 10}}, StorePage{{}, {1, 5}}};
    before.returnDuringFirstWatch(1);
    before.start();
    before.context.run_for(Millis(300));
    REQUIRE(before.state.storeGeneration == 1);
    before.state.leadership.revision = StoreRevision(1, 100);
    ScriptedRouter after;
    after.pages = {StorePage{{}, {1, 150}}};
    after.store.watch = [](std::string /*prefix*/, StoreRevision /*after*/, Millis /*wait*/) { return block(); };
    after.start();
    after.context.run_for(Millis(100));
    after.state.leadership.revision = StoreRevision(1, 200);
    CHECK(after.state.fencingToken() > before.state.fencingToken());
}
