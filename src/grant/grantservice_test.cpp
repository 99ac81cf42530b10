#include "cyclamencross/grant/grantservice.h"

#include "../testserver.h"

#include "cyclamencross/base/controlsystem.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/engineowner.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Cyclamen;

namespace
{

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 1000 && !condition(); ++i) {
        std::this_thread::sleep_for(Millis(10));
    }
    return condition();
}

// An engine whose held requests are set by the test.
class FakeEngine
{
public:
    explicit FakeEngine(std::uint32_t slots)
    {
        this->http.server.Get("/v1/load", [this, slots](const httplib::Request &, httplib::Response &reply) {
            const std::scoped_lock lock(this->mutex);
            reply.set_content(nlohmann::json{{"slots", slots}, {"held", this->held.size()}}.dump(), "application/json");
        });
        this->http.server.Get("/v1/requests", [this](const httplib::Request &, httplib::Response &reply) {
            const std::scoped_lock lock(this->mutex);
            nlohmann::json list = nlohmann::json::array();
            for (const std::string &id : this->held) {
                list.push_back({{"request_id", id}, {"stage", "decoding"}, {"age_ms", 5}, {"attached", true}});
            }
            reply.set_content(nlohmann::json{{"requests", list}}.dump(), "application/json");
        });
        this->http.server.Post("/v1/cancel", [this](const httplib::Request &request, httplib::Response &reply) {
            const std::scoped_lock lock(this->mutex);
            const bool known =
                this->held.erase(nlohmann::json::parse(request.body).at("request_id").get<std::string>()) > 0;
            reply.set_content(nlohmann::json{{"cancelled", known}}.dump(), "application/json");
        });
        this->http.start();
        this->address = this->http.address();
    }
    void hold(const std::string &id)
    {
        const std::scoped_lock lock(this->mutex);
        this->held.insert(id);
    }
    bool holds(const std::string &id)
    {
        const std::scoped_lock lock(this->mutex);
        return this->held.contains(id);
    }

    std::string address;

private:
    std::mutex mutex;
    std::set<std::string> held;
    TestServer http; ///< Last, so that it stops before the members that its handlers use are destroyed.
};

// Entries that exchange datagrams through function calls. Datagrams from and to a disconnected entry are lost.
class FakeFleet
{
public:
    FakeFleet(const std::vector<std::string> &names, const std::string &engine)
    {
        Backend backend;
        backend.address = engine;
        backend.role = EngineRole::Decode;
        this->view.backends = {backend};
        for (const std::string &name : names) {
            Member member;
            member.name = name;
            member.incarnation = 1;
            member.gossipAddress = name;
            this->view.members.push_back(member);
        }
        for (const Member &member : this->view.members) {
            Settings settings;
            settings.name = member.name;
            const auto send = [this, from = member.name](const std::string &to, DatagramKind kind,
                                                         const std::string &payload) {
                const std::scoped_lock lock(this->deliveryMutex);
                if (!this->isClosed && !this->isDisconnected(to) && !this->isDisconnected(from)) {
                    this->services.at(to)->receive({from, 1, 1, kind, payload, from});
                }
            };
            this->services[member.name] = std::make_unique<GrantService>(
                settings, [this, member] { return this->viewOf(member); }, this->control, send, this->metrics);
        }
        for (auto &[name, service] : this->services) {
            service->start();
        }
    }
    ~FakeFleet()
    {
        const std::scoped_lock lock(this->deliveryMutex);
        this->isClosed = true;
    }
    FleetViewPtr viewOf(const Member &self)
    {
        const std::scoped_lock lock(this->mutex);
        auto own = std::make_shared<FleetView>(this->view);
        own->self = self;
        return own;
    }
    bool isDisconnected(const std::string &name)
    {
        const std::scoped_lock lock(this->mutex);
        return this->disconnected.contains(name);
    }
    void disconnect(const std::string &name)
    {
        const std::scoped_lock lock(this->mutex);
        this->disconnected.insert(name);
    }
    void setState(BackendState state)
    {
        const std::scoped_lock lock(this->mutex);
        this->view.backends.front().state = state;
    }
    std::vector<std::string> owners()
    {
        std::vector<std::string> names;
        for (const Member &member : ownerOrder(this->view.backends.front(), this->view.members)) {
            names.push_back(member.name);
        }
        return names;
    }
    std::optional<SlotGrant> acquire(const std::string &from, const std::string &id, Millis maxWait = Millis(400))
    {
        const auto grant =
            this->services.at(from)->acquire({id, this->view.backends.front().address, "w", 1, 1, 0, maxWait, 0});
        return grant ? std::optional(*grant) : std::nullopt;
    }

    // Repeats the request until the given owner answers, since a busy machine may delay it beyond the owner timeout.
    std::optional<SlotGrant> acquireFrom(const std::string &owner, const std::string &from, const std::string &id)
    {
        std::optional<SlotGrant> grant;
        eventually([&] {
            grant = this->acquire(from, id);
            if (grant && grant->owner != owner) {
                this->services.at(from)->release(*grant);
                grant.reset();
            }
            return grant.has_value();
        });
        return grant;
    }

    std::recursive_mutex deliveryMutex; // recursive, since a delivery may trigger another one
    bool isClosed = false;
    std::mutex mutex;
    FleetView view;
    std::set<std::string> disconnected;
    Metrics metrics;
    ControlSystem control;
    std::map<std::string, std::unique_ptr<GrantService>> services;
};

std::string idOf(const std::string &entry, int n)
{
    return entry + "." + toHex(1) + "." + std::to_string(n);
}

}

// Guards against an owner in another process that grants a slot twice, or never again after its release, and against a
// new owner that ignores the requests that the engine already holds.
TEST_CASE("the owner grants the free slots of the engine")
{
    FakeEngine engine(3);
    engine.hold(idOf("e1", 100));
    FakeFleet fleet({"e1", "e2"}, engine.address);
    const std::string requester = fleet.owners().at(1);
    const std::string owner = fleet.owners().at(0);
    const auto first = fleet.acquireFrom(owner, requester, idOf(requester, 1));
    REQUIRE(first);
    CHECK(fleet.services.at(requester)->load(engine.address)->held == 2);
    REQUIRE(fleet.acquireFrom(owner, owner, idOf(requester, 2)));
    CHECK_FALSE(fleet.acquire(requester, idOf(requester, 3), Millis(30)));
    std::thread releaser([&] {
        std::this_thread::sleep_for(Millis(50));
        fleet.services.at(requester)->release(*first);
        fleet.services.at(requester)->release(*first);
    });
    CHECK(fleet.acquire(requester, idOf(requester, 4), Millis(5000)));
    releaser.join();
    CHECK_FALSE(fleet.acquire(requester, idOf(requester, 5), Millis(0)));
}

// Guards against threads that keep waiting for a slot after the caller has disconnected, and against a slot that is
// granted to such a request.
TEST_CASE("a release withdraws a waiting slot request")
{
    FakeEngine engine(1);
    engine.hold(idOf("e1", 100));
    FakeFleet fleet({"e1", "e2"}, engine.address);
    const std::string owner = fleet.owners().at(0);
    const std::string requester = fleet.owners().at(1);
    REQUIRE(eventually([&] { return fleet.services.at(owner)->load(engine.address).has_value(); }));
    std::thread caller([&] {
        std::this_thread::sleep_for(Millis(50));
        fleet.services.at(requester)->release({idOf(requester, 1), engine.address, "", 1, 0, Millis(0), 0});
    });
    const TimePoint start = Clock::now();
    CHECK_FALSE(fleet.acquire(requester, idOf(requester, 1), Millis(60000)));
    CHECK(Clock::now() - start < Millis(30000));
    caller.join();
}

// Guards against requests that hang or fail because the owner of an engine has just died.
TEST_CASE("an unresponsive owner is skipped, and without any owner the engine decides")
{
    FakeEngine engine(5);
    FakeFleet fleet({"e1", "e2", "e3", "e4"}, engine.address);
    const auto owners = fleet.owners();
    fleet.disconnect(owners.at(0));
    CHECK(fleet.acquireFrom(owners.at(1), owners.at(3), idOf("e1", 1)));
    fleet.disconnect(owners.at(1));
    fleet.disconnect(owners.at(2));
    const auto direct = fleet.acquire(owners.at(3), idOf("e1", 2));
    REQUIRE(direct);
    CHECK(direct->owner.empty());
}

// Guards against new work for an engine that is leaving, also before its owner has noticed.
TEST_CASE("a leaving engine gets no grant")
{
    FakeEngine engine(5);
    FakeFleet fleet({"e1", "e2"}, engine.address);
    REQUIRE(eventually([&] { return fleet.acquire("e1", idOf("e1", 1)).has_value(); }));
    fleet.setState(BackendState::Leaving);
    CHECK_FALSE(fleet.acquire("e1", idOf("e1", 2)));
    fleet.setState(BackendState::Live);
    CHECK(eventually([&] { return fleet.acquire("e1", idOf("e1", 3)).has_value(); }));
}

// Guards against requests that are sent to an engine which has died, before the host list shows it.
TEST_CASE("an engine that refuses connections gets no grant")
{
    auto engine = std::make_unique<FakeEngine>(5000);
    FakeFleet fleet({"e1", "e2"}, engine->address);
    REQUIRE(eventually([&] { return fleet.acquire("e1", idOf("e1", 1)).has_value(); }));
    engine.reset();
    int n = 1;
    CHECK(eventually([&] { return !fleet.acquire("e1", idOf("e1", ++n)).has_value(); }));
    CHECK(n < 5000); // Slots are left, so the refused connection is the reason.
}

// Guards against engine memory that is never freed because a dead entry's requests stay, and against cancelling the
// requests of live entries.
TEST_CASE("the owner cancels requests of dead entries")
{
    FakeEngine engine(5);
    engine.hold(idOf("dead", 1));
    engine.hold(idOf("e2", 1));
    FakeFleet fleet({"e1", "e2"}, engine.address);
    {
        const std::scoped_lock lock(fleet.mutex);
        Member dead;
        dead.name = "dead";
        dead.incarnation = 1;
        dead.state = MemberState::Dead;
        fleet.view.members.insert(fleet.view.members.begin(), dead);
    }
    CHECK(eventually([&] { return !engine.holds(idOf("dead", 1)); }));
    CHECK(engine.holds(idOf("e2", 1)));
}
