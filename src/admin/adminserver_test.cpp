#include "cyclamencross/admin/adminserver.h"

#include "signaturecache.h"

#include "../testport.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/peerhttp.h"

#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

using namespace Cyclamen;

namespace
{

constexpr std::size_t MaxBody = 2048;
const std::string Key = "0123456789abcdef0123456789abcdef";

Settings makeSettings()
{
    Settings settings;
    settings.adminAddress = "127.0.0.1:" + std::to_string(freePort());
    settings.sharedKey = Key;
    settings.maxBodyBytes = MaxBody;
    settings.adminThreads = 4;
    settings.idleTimeout = Millis(2000);
    return settings;
}

struct Fixture
{
    Settings settings = makeSettings();
    Metrics metrics;
    AdminServer server{settings, metrics};
    int runs = 0;

    Fixture()
    {
        this->server.route("POST", "/admin/change", RouteAccess::Signed, [this](const HttpRequest &request) {
            this->runs += 1;
            return HttpReply{200, {}, request.body};
        });
    }

    httplib::Result post(const std::string &body, const std::string &signature) const
    {
        httplib::Client client("http://" + this->settings.adminAddress);
        return client.Post("/admin/change", {{"Peer-Signature", signature}}, body, "application/json");
    }

    std::string sign(const std::string &body, const std::string &key) const
    {
        return signRequest({"POST", "/admin/change", {}, body}, key, unixSeconds(), toHex(randomNumber()));
    }
};

bool hasError(const httplib::Result &result, int status, const std::string &type)
{
    return result && result->status == status && result->body.find("\"type\":\"" + type + "\"") != std::string::npos
        && result->get_header_value("Run-Outcome") == "not-run";
}

}

// Guards against a command that is executed without the shared key, or a second time when a recorded request is
// replayed.
TEST_CASE("a signed route executes an authentic request once")
{
    Fixture fixture;
    REQUIRE(fixture.server.start());
    const std::string signature = fixture.sign("{}", Key);
    const auto first = fixture.post("{}", signature);
    REQUIRE(first);
    CHECK(first->status == 200);
    CHECK(hasError(fixture.post("{}", signature), 401, "replayed"));
    CHECK(hasError(fixture.post("{}", fixture.sign("{}", "another key of more than 32 characters")), 401,
                   "not-authentic"));
    CHECK(hasError(fixture.post("{\"changed\":1}", fixture.sign("{}", Key)), 401, "not-authentic"));
    httplib::Client client("http://" + fixture.settings.adminAddress);
    CHECK(hasError(client.Post("/admin/change", "{}", "application/json"), 401, "not-authentic"));
    // Adding an unused signature must not make a used one valid again.
    CHECK(hasError(client.Post("/admin/change", {{"peer-signature", "unused"}, {"Peer-Signature", signature}}, "{}",
                               "application/json"),
                   401, "not-authentic"));
    CHECK(fixture.runs == 1);
}

TEST_CASE("unknown paths, wrong methods and large bodies are refused with a typed error")
{
    Fixture fixture;
    REQUIRE(fixture.server.start());
    httplib::Client client("http://" + fixture.settings.adminAddress);
    CHECK(hasError(client.Get("/admin/none"), 404, "no-such-route"));
    CHECK(hasError(client.Get("/admin/change"), 405, "method-not-allowed"));
    const std::string large(2 * MaxBody + (1U << 20U) + 1, 'x');
    CHECK(hasError(fixture.post(large, fixture.sign(large, Key)), 413, "body-too-large"));
    // A chunked body has no announced length.
    const auto chunked = client.Post(
        "/admin/change", {{"Peer-Signature", fixture.sign(large, Key)}},
        [&](std::size_t /*offset*/, httplib::DataSink &sink) {
            sink.write(large.data(), large.size());
            sink.done();
            return true;
        },
        "application/json");
    CHECK((!chunked || hasError(chunked, 413, "body-too-large")));
    CHECK(fixture.runs == 0);
}

// Guards against a failed request that is reported as not run although the handler may have executed part of it.
TEST_CASE("an exception in a handler is reported with outcome unknown")
{
    Fixture fixture;
    fixture.server.route("GET", "/admin/broken", RouteAccess::Open,
                         [](const HttpRequest &) -> HttpReply { throw std::runtime_error("broken"); });
    REQUIRE(fixture.server.start());
    const auto result = httplib::Client("http://" + fixture.settings.adminAddress).Get("/admin/broken");
    REQUIRE(result);
    CHECK(result->status == 500);
    CHECK(result->get_header_value("Run-Outcome") == "unknown");
    CHECK(result->body.find("\"type\":\"internal\"") != std::string::npos);
}

TEST_CASE("health, readiness and metrics need no signature")
{
    Fixture fixture;
    bool ready = false;
    fixture.server.readiness([&ready] { return ready; });
    REQUIRE(fixture.server.start());
    httplib::Client client("http://" + fixture.settings.adminAddress);
    CHECK(client.Get("/healthz")->status == 200);
    CHECK(hasError(client.Get("/readyz"), 503, "not-ready"));
    ready = true;
    CHECK(client.Get("/readyz")->status == 200);
    CHECK(client.Get("/metrics")->body.find("admin_requests_total") != std::string::npos);
}

// Guards against a port that is shared unnoticed with another process, and against an unbounded queue of connections.
TEST_CASE("start() fails on a port in use, and connections beyond the threads and their queue are refused")
{
    Fixture fixture;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t entered = 0;
    bool open = false;
    fixture.server.route("GET", "/admin/slow", RouteAccess::Open, [&](const HttpRequest &) {
        std::unique_lock lock(mutex);
        entered += 1;
        changed.notify_all();
        changed.wait(lock, [&] { return open; });
        return HttpReply{};
    });
    REQUIRE(fixture.server.start());
    Metrics metrics;
    CHECK_FALSE(AdminServer(fixture.settings, metrics).start());

    std::size_t served = 0;
    std::size_t refused = 0;
    const auto call = [&] {
        const auto result = httplib::Client("http://" + fixture.settings.adminAddress).Get("/admin/slow");
        const std::scoped_lock lock(mutex);
        served += result && result->status == 200 ? 1 : 0;
        refused += hasError(result, 503, "overloaded") ? 1 : 0;
        changed.notify_all();
    };
    const std::size_t threads = fixture.settings.adminThreads;
    const std::size_t excess = 3;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 2 * threads + excess; ++i) {
        callers.emplace_back(call);
    }
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return entered == threads && refused == excess; });
        open = true;
        changed.notify_all();
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(served == 2 * threads);
    CHECK(refused == excess);
}

// Guards against a command, such as a drain, that is replayed to the process that has replaced its receiver.
TEST_CASE("recorded signatures expire and are bounded, and signatures from before the start are refused")
{
    using Result = SignatureCache::Result;
    SignatureCache cache(2, 100);
    CHECK(cache.record("99.a", 100) == Result::BeforeStart);
    CHECK(cache.record("100.a", 100) == Result::New);
    CHECK(cache.record("100.a", 100 + SignatureCache::RetentionSeconds) == Result::Replay);
    CHECK(cache.record("101.b", 101) == Result::New);
    CHECK(cache.record("101.c", 101) == Result::Full);
    CHECK(cache.record("101.c", 101 + SignatureCache::RetentionSeconds) == Result::New);
}
