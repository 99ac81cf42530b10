#include "routerstate.h"

#include "cyclamencross/route/routetablebuilder.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::string numbered(const std::string &prefix, int zone, int number)
{
    std::string name = prefix;
    name += std::to_string(zone) + "-" + std::to_string(number);
    return name;
}

std::string zoneName(int zone)
{
    std::string name = "z";
    name += std::to_string(zone);
    return name;
}

// Routers and decode engines, as many in each zone as given.
std::unique_ptr<RouterState> makeState(boost::asio::io_context &context, const std::string &name, int zone,
                                       const std::vector<int> &routers, const std::vector<int> &engines,
                                       bool groupsByZone = true)
{
    RouterSettings settings;
    settings.name = name;
    settings.zone = zoneName(zone);
    settings.groupsByZone = groupsByZone;
    auto state = std::make_unique<RouterState>(context.get_executor(), settings, 1);
    for (int z = 0; z < int(routers.size()); ++z) {
        for (int i = 0; i < routers[std::size_t(z)]; ++i) {
            const std::string router = numbered("r", z, i);
            state->members.put(router, RouterMember{router, 1, zoneName(z), "10.0.0.1:1", "10.0.0.1:2"}, 1);
        }
        for (int i = 0; i < engines[std::size_t(z)]; ++i) {
            const std::string id = numbered("e", z, i);
            state->backends.put(
                id, BackendServer{id, "big", "10.0.1.1:1", zoneName(z), false, EngineStage::Decode, 4, 0}, 1);
        }
    }
    state->regroup();
    return state;
}

bool areAllInZone(const std::vector<PlacementCandidate> &candidates, const std::string &zone)
{
    return std::all_of(candidates.begin(), candidates.end(),
                       [&zone](const PlacementCandidate &candidate) { return candidate.server.zone == zone; });
}

}

TEST_CASE("Routers report to and use the engines of their zone, and find engines of others when asked for")
{
    // Guards against reports and KV caches that cross zones, and against a zone without room that finds none elsewhere.
    boost::asio::io_context context;
    const std::vector<int> routers{20, 20};
    const std::vector<int> engines{10, 10};
    const auto state = makeState(context, "r1-3", 1, routers, engines);
    const TimePoint now = Clock::now();
    CHECK(state->hasZoneGroups());
    CHECK(state->groupPeers().size() == 19);
    CHECK(std::all_of(state->groupPeers().begin(), state->groupPeers().end(),
                      [](const RouterMember &peer) { return peer.zone == "z1"; }));
    const auto own = state->candidates("big", EngineStage::Decode, {}, "z1", now);
    CHECK(own.size() == 10);
    CHECK(areAllInZone(own, "z1"));
    CHECK(state->sampleOtherGroups("big", EngineStage::Decode, {}, now, true).empty());
    const auto others = state->sampleOtherGroups("big", EngineStage::Decode, {}, now, false);
    CHECK(others.size() == 3);
    CHECK(areAllInZone(others, "z0"));
    for (int i = 0; i < 10; ++i) {
        state->markFull(numbered("e", 0, i), now);
    }
    CHECK(state->sampleOtherGroups("big", EngineStage::Decode, {}, now, false).empty());
    const auto byHash = makeState(context, "r1-3", 1, routers, engines, false);
    CHECK_FALSE(byHash->hasZoneGroups());
    CHECK_FALSE(areAllInZone(byHash->candidates("big", EngineStage::Decode, {}, "z1", now), "z1"));
}

TEST_CASE("Groups that share the few engines of their zone exchange their work, and only they do")
{
    // Guards against a delegate that waits for the work of groups that do not share its engines, so that its group
    // extrapolates for ever.
    boost::asio::io_context context;
    const std::vector<int> routers{40, 40};
    const std::vector<int> engines{12, 6};
    std::vector<std::unique_ptr<RouterState>> states;
    for (int zone = 0; zone < 2; ++zone) {
        for (int i = 0; i < 40; ++i) {
            states.push_back(makeState(context, numbered("r", zone, i), zone, routers, engines));
        }
    }
    RouterState &worker = *states.back();
    worker.work->add("e1-0", BackendWork{5, 0, {}});
    for (int round = 0; round < 3; ++round) {
        const TimePoint now = Clock::now() + Millis(600 * round);
        for (const auto &sender : states) {
            const auto groupReport = sender->takeGroupReport(now);
            const auto report = sender->takeReport(now);
            for (const auto &receiver : states) {
                const auto isAddressed = [&receiver](const std::vector<RouterMember> &list) {
                    return std::any_of(list.begin(), list.end(), [&receiver](const RouterMember &member) {
                        return member.name == receiver->settings.name;
                    });
                };
                if (groupReport && isAddressed(sender->otherDelegates())) {
                    receiver->applyReport(*groupReport, now);
                }
                if (report && isAddressed(sender->groupPeers())) {
                    receiver->applyReport(*report, now);
                }
            }
        }
    }
    int delegates = 0;
    for (const auto &state : states) {
        delegates += state->takeGroupReport(Clock::now() + Millis(5000)) ? 1 : 0;
        const auto candidates = state->candidates("big", EngineStage::Decode, {}, state->settings.zone, Clock::now());
        if (state->settings.zone == "z0") {
            CHECK(state->otherDelegates().empty());
            CHECK(std::none_of(candidates.begin(), candidates.end(), [](const auto &one) { return one.isShared; }));
            continue;
        }
        CHECK(state->otherDelegates().size() == 1);
        const auto engine =
            std::find_if(candidates.begin(), candidates.end(), [](const auto &one) { return one.server.id == "e1-0"; });
        REQUIRE(engine != candidates.end());
        CHECK(engine->work.requests == 5);
    }
    CHECK(delegates == 2);
}

TEST_CASE("Refusals of engines of other groups are counted by distance, those of the own group not at all")
{
    boost::asio::io_context context;
    const auto state = makeState(context, "r0-0", 0, {20, 20}, {10, 10});
    const TimePoint now = Clock::now();
    PlacementCandidate engine;
    engine.sameZone = false;
    state->recordOverflow("big", engine, false, now);
    CHECK(state->mayAskOtherGroups("big", false, now));
    engine.ofOtherGroup = true;
    state->recordOverflow("big", engine, false, now);
    CHECK_FALSE(state->mayAskOtherGroups("big", false, now));
    CHECK(state->mayAskOtherGroups("big", true, now));
    CHECK(state->mayAskOtherGroups("other", false, now));
}

TEST_CASE("A delegate weighs the stages by the engines of all groups that report to it")
{
    // Guards against a leader that moves engines of all zones to another stage because its own zone has a burst.
    boost::asio::io_context context;
    EngineConfig engineConfig;
    engineConfig.kvCacheTokens = 1000;
    std::vector<std::unique_ptr<RouterState>> delegates;
    for (int zone = 0; zone < 2; ++zone) {
        for (int i = 0; i < 20; ++i) {
            auto state = makeState(context, numbered("r", zone, i), zone, {20, 20}, {10, 10});
            for (int z = 0; z < 2; ++z) {
                for (int engine = 0; engine < 8; ++engine) {
                    const std::string id = numbered("p", z, engine);
                    state->backends.put(
                        id, BackendServer{id, "big", "10.0.1.1:1", zoneName(z), false, EngineStage::Prefill, 4, 0}, 1);
                }
            }
            state->backends.put("app", BackendServer{"app", "app", "10.0.1.2:1", "z0", false, EngineStage::None, 4, 0},
                                1);
            ServiceConfig service;
            service.name = "big";
            service.engine = engineConfig;
            state->table = std::make_shared<const RouteTable>(RouteTableBuilder().add(service).build());
            state->regroup();
            if (state->isPrimaryWatcher()) {
                delegates.push_back(std::move(state));
            }
        }
    }
    REQUIRE(delegates.size() == 2);
    RouterState &busy = *delegates.front();
    for (int engine = 0; engine < 8; ++engine) {
        busy.work->add(numbered("p", 0, engine), BackendWork{4, 0, {}});
    }
    CHECK(busy.stageLoads().at("big").prefillRequests == Approx(64));
    const TimePoint now = Clock::now();
    busy.applyReport(*delegates.back()->takeGroupReport(now), now);
    CHECK(busy.stageLoads().at("big").prefillRequests == Approx(32));
    CHECK(busy.stageLoads().at("big").prefillEngines == 16);
    delegates.back()->applyReport(*busy.takeGroupReport(now), now);
    CHECK(delegates.back()->stageLoads().at("big").prefillRequests == Approx(32));
}
