#include "fakekeyvalue.h"
#include "keyvaluewatch.h"

#include "../testserver.h"

#include "cyclamencross/base/controlsystem.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/fleet/fleetservice.h"
#include "cyclamencross/net/datagramsocket.h"

#include <atomic>
#include <mutex>
#include <thread>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <httplib.h>

using namespace Cyclamen;

namespace
{

bool eventually(const std::function<bool()> &condition)
{
    for (int tries = 0; tries < 1500; ++tries) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Millis(10));
    }
    return false;
}

// Stand-in for the platform: a host list and a key-value service without watches.
struct Platform
{
    Platform()
    {
        this->http.server.Get("/v1/hosts", [this](const auto &request, auto &response) {
            response.set_header("ETag", "\"1\"");
            if (request.get_header_value("If-None-Match") == "\"1\"") {
                response.status = 304;
                ++this->notModified;
                return;
            }
            response.set_content(R"({"version":1,"hosts":[{"address":"127.0.0.1:9","kind":"service","pool":"field-desk",
                                 "zone":"burera","state":"leaving"},{"address":"127.0.0.1:8","kind":"novel"}]})",
                                 "application/json");
        });
        this->http.server.Post("/v3/(kv|lease)/.*", [this](const auto &request, auto &response) {
            const std::scoped_lock lock(this->mutex);
            const auto result = this->keyValue.call()(request.path, request.body);
            response.status = result ? 200 : 503;
            response.set_content(result ? *result : "{}", "application/json");
        });
        this->http.start();
    }
    std::mutex mutex;
    std::atomic<int> notModified = 0;
    FakeKeyValue keyValue;
    TestServer http;
};

// The FleetService of one entry, with the peer interface of its admin port.
struct Entry
{
    Entry(const std::string &name, const std::string &zone, const Platform &platform, const std::string &join)
    {
        this->settings.name = name;
        this->settings.zone = zone;
        this->settings.sharedKey = "0123456789abcdef0123456789abcdef";
        this->settings.hostListAddress = this->settings.keyValueAddress = platform.http.address();
        this->settings.joinAddresses = {join};
        this->settings.probePeriod = Millis(100);
        this->settings.probeTimeout = Millis(40);
        this->settings.suspicion = Millis(1000);
        this->admin.server.Get("/peer/config", [this](const auto &, auto &response) {
            response.set_content(this->fleet->configText(), "text/plain");
        });
        this->admin.start();
        this->settings.adminAddress = this->admin.address();
        this->socket =
            std::make_unique<DatagramSocket>("127.0.0.1:0", name, 1, this->settings.sharedKey, this->metrics);
        this->fleet = std::make_unique<FleetService>(this->settings, 1, this->control, *this->socket, this->metrics);
        this->socket->start();
        this->fleet->start();
    }
    ~Entry()
    {
        this->fleet.reset();
    }
    MemberState stateOf(const std::string &name) const
    {
        for (const Member &member : this->fleet->view()->members) {
            if (member.name == name) {
                return member.state;
            }
        }
        return MemberState::Dead;
    }
    Settings settings;
    Metrics metrics;
    ControlSystem control;
    TestServer admin;
    std::unique_ptr<DatagramSocket> socket;
    std::unique_ptr<FleetService> fleet;
};

}

// Guards against a view that does not follow changes of members, host list, configuration and crashes.
TEST_CASE("fleet services on loopback share members, configuration and crashes")
{
    Platform platform;
    Entry one("one", "burera", platform, "127.0.0.1:1");
    Entry two("two", "musanze-a", platform, one.socket->address());
    CHECK(one.fleet->view()->self.name == "one");
    REQUIRE(eventually([&] { return one.fleet->view()->ready && two.fleet->view()->ready; }));
    REQUIRE(one.fleet->view()->backends.size() == 1);
    CHECK(one.fleet->view()->backends[0].state == BackendState::Leaving);
    REQUIRE(
        eventually([&] { return one.fleet->view()->members.size() == 2 && two.fleet->view()->members.size() == 2; }));

    const auto revision = one.fleet->applyConfig("[defaults]\nmax_tokens = 77\n", 0, "change-1", "ana");
    REQUIRE(revision);
    CHECK(*revision == 1);
    CHECK(eventually([&] { return two.fleet->view()->config->defaults.maxTokens == 77; }));
    CHECK(eventually([&] { return one.fleet->view()->config->revision == 1; }));

    const CrashReport report{5, "127.0.0.1:9", "one", unixSeconds()};
    one.fleet->reportCrash(report);
    CHECK(one.fleet->crashReports() == std::vector{report});
    CHECK(eventually([&] { return two.fleet->crashReports() == std::vector{report}; }));
    two.fleet->liftCrash(5);
    CHECK(eventually([&] { return one.fleet->crashReports().empty(); }));

    const CallRecord proposed{"field-desk", "key", "attempt", "one", 1, "127.0.0.1:1", false, 0, ""};
    const auto record = one.fleet->createCallRecord(proposed);
    REQUIRE(record);
    CHECK(*record == proposed);

    two.fleet->publishLoad(9);
    two.fleet->beginDrain();
    CHECK(two.fleet->view()->self.state == MemberState::Draining);
    CHECK(eventually([&] { return one.stateOf("two") == MemberState::Draining; }));
    two.fleet->leave();
    CHECK(eventually([&] { return one.stateOf("two") == MemberState::Left; }));
}

// Guards against an entry that keeps accepting requests although it can reach neither its peers nor the platform.
TEST_CASE("an entry without contact becomes isolated")
{
    auto platform = std::make_unique<Platform>();
    Settings settings;
    settings.name = "alone";
    settings.hostListAddress = settings.keyValueAddress = platform->http.address();
    settings.hostListPeriod = Millis(50);
    settings.isolatedAfter = Millis(300);
    Metrics metrics;
    ControlSystem control;
    DatagramSocket socket("127.0.0.1:0", "alone", 1, "key", metrics);
    FleetService fleet(settings, 1, control, socket, metrics);
    fleet.start();
    REQUIRE(eventually([&] { return fleet.view()->ready; }));
    CHECK_FALSE(fleet.view()->isolated);
    // A "not modified" response also shows that the platform is reachable.
    REQUIRE(eventually([&] { return platform->notModified > 12; }));
    CHECK_FALSE(fleet.view()->isolated);
    CHECK(fleet.view()->backends.size() == 1);
    platform.reset();
    CHECK(eventually([&] { return fleet.view()->isolated; }));
    const auto failed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(fleet.createCallRecord(CallRecord()));
            return false;
        },
        [](const KeyValueUnavailable &) { return true; }, [] { return false; });
    CHECK(failed);
}

// Guards against events that are lost when the stream is split at arbitrary bytes, and against a watch that cannot be
// stopped.
TEST_CASE("a watch delivers events and ends when it is stopped")
{
    const std::string lines = R"({"result":{"created":true}})"
                              "\n"
                              R"({"result":{"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"4"}}]}})"
                              "\n"
                              R"({"result":{"events":[{"type":"DELETE","kv":{"key":"aw=="}}]}})"
                              "\n";
    TestServer platform;
    std::string requested;
    std::mutex mutex;
    platform.server.Post("/v3/watch", [&](const auto &request, auto &response) {
        const std::scoped_lock lock(mutex);
        requested = request.body;
        response.set_chunked_content_provider(
            "application/json", [&lines, at = std::size_t(0)](std::size_t, httplib::DataSink &sink) mutable {
                if (at < lines.size()) {
                    sink.write(lines.data() + at++, 1);
                } else {
                    std::this_thread::sleep_for(Millis(5));
                }
                return sink.is_writable();
            });
    });
    platform.start();
    Settings settings;
    settings.keyValueAddress = platform.address();
    Metrics metrics;
    KeyValueWatch watch(settings, metrics);
    std::vector<KeyValueEntry> seen;
    bool accepted = false;
    std::atomic<bool> done = false;
    std::thread runner([&] {
        accepted = watch.run("k", 3, [&](const KeyValueEntry &entry) {
            const std::scoped_lock lock(mutex);
            seen.push_back(entry);
        });
        done = true;
    });
    CHECK(eventually([&] {
        const std::scoped_lock lock(mutex);
        return seen.size() == 1;
    }));
    while (!done) {
        watch.stop();
        std::this_thread::sleep_for(Millis(10));
    }
    runner.join();
    CHECK(accepted);
    CHECK(seen == std::vector{KeyValueEntry{"k", "v", 0, 4, 0}});
    CHECK(requested.find("\"start_revision\":\"3\"") != std::string::npos);
    CHECK(metrics.serialize().find("cyclamencross_keyvalue_calls_total{kind=\"watch\"} 1") != std::string::npos);
}
