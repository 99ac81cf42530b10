#include <catch2/catch.hpp>

#include "proxyfixture_test.h"

using namespace Cyclamen;

namespace
{

std::string readAll(int fd)
{
    std::string received;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = recv(fd, buffer.data(), buffer.size(), 0)) > 0;) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    close(fd);
    return received;
}

}

// Guards against unbounded memory use by one caller.
TEST_CASE("oversize requests are refused with outcome not-run")
{
    ProxyFixture fixture;
    fixture.settings.maxBodyBytes = 1000;
    fixture.start();
    const auto announced = fixture.complete(false, {}, std::string(2000, 'x'));
    CHECK(announced->status == 413);
    CHECK(announced->get_header_value("Run-Outcome") == "not-run");
    std::string chunked = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 20; ++i) {
        chunked += "64\r\n" + std::string(100, 'x') + "\r\n";
    }
    CHECK(readAll(fixture.connectRaw(chunked + "0\r\n\r\n")).starts_with("HTTP/1.1 413"));
    std::string manyHeaders = "GET /healthz HTTP/1.1\r\n";
    for (int i = 0; i < 2000; ++i) {
        manyHeaders += "H: " + std::string(100, 'x') + "\r\n";
    }
    const std::string refused = readAll(fixture.connectRaw(manyHeaders + "\r\n"));
    CHECK((refused.empty() || refused.starts_with("HTTP/1.1 4")));
}

// Guards against threads blocked by callers that send nothing, or send their headers one byte at a time.
TEST_CASE("connections of silent and slow callers are closed")
{
    ProxyFixture fixture;
    fixture.settings.idleTimeout = Millis(100);
    fixture.start();
    CHECK(readAll(fixture.connectRaw("")).empty());
    const int slow = fixture.connectRaw("GET /healthz HTTP/1.1\r\n");
    const TimePoint start = Clock::now();
    while (::send(slow, "a", 1, MSG_NOSIGNAL) == 1 && Clock::now() - start < Millis(5000)) {
        std::this_thread::sleep_for(Millis(20));
    }
    CHECK(Clock::now() - start < Millis(3000));
    close(slow);
    CHECK(fixture.client().Get("/healthz")->status == 200);
}

// Guards against callers that get no response when all threads are busy.
TEST_CASE("connections beyond the limit are refused, and idle ones are closed for waiting callers")
{
    ProxyFixture fixture;
    fixture.settings.maxConnections = 2;
    fixture.decode.on("/v1/decode", [&fixture](const httplib::Request &, httplib::Response &response) {
        fixture.decode.streamAndHang(response, ": waiting\n\n");
    });
    fixture.start();
    const int first = fixture.connectRaw(ProxyFixture::rawCompletion(true));
    const int second = fixture.connectRaw(ProxyFixture::rawCompletion(true));
    CHECK(ProxyFixture::eventually([&] { return fixture.proxy->inProgress() == 2; }));
    const auto refused = fixture.client().Get("/healthz");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->get_header_value("Run-Outcome") == "not-run");
    CHECK(refused->get_header_value("Connection") == "close");
    close(first);
    CHECK(ProxyFixture::eventually([&] { return fixture.proxy->inProgress() == 1; }));
    auto idle = fixture.client();
    idle.set_keep_alive(true);
    CHECK(ProxyFixture::eventually([&] { return idle.Get("/healthz")->status == 200; }));
    CHECK(ProxyFixture::eventually([&] { return fixture.client().Get("/healthz")->status == 200; }));
    close(second);
}

// Guards against a stop that blocks, and against requests that get no response when the process stops.
TEST_CASE("a stop ends requests in progress and reports whether they ran")
{
    ProxyFixture fixture;
    fixture.decode.on("/v1/decode", [&fixture](const httplib::Request &, httplib::Response &response) {
        fixture.decode.streamAndHang(response, ": waiting\n\n");
    });
    fixture.start();
    const int caller = fixture.connectRaw(ProxyFixture::rawCompletion(true));
    CHECK(ProxyFixture::eventually([&] { return !fixture.decode.requests("/v1/decode").empty(); }));
    const int idle = fixture.connectRaw("");
    fixture.proxy->refuseNewWork();
    fixture.proxy->stopAccepting();
    CHECK(fixture.proxy->inProgress() == 1);
    fixture.proxy.reset();
    const std::string answer = readAll(caller);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Run-Outcome: failed") != std::string::npos);
    CHECK(readAll(idle).empty());
    CHECK(fixture.grantsHeld == 0);
}

TEST_CASE("the deadline ends a hanging request")
{
    ProxyFixture fixture;
    fixture.prefill.on("/v1/prefill", [&fixture](const httplib::Request &, httplib::Response &response) {
        fixture.prefill.streamAndHang(response, "{");
    });
    fixture.start();
    const TimePoint start = Clock::now();
    const auto result = fixture.complete(true, {{"Request-Deadline-Ms", "200"}});
    CHECK(Clock::now() - start < Millis(2000));
    CHECK(result->status == 504);
    CHECK(ProxyFixture::type(result) == "deadline-exceeded");
    CHECK(result->get_header_value("Run-Outcome") == "unknown");
    CHECK(fixture.grantsHeld == 0);
}

// Guards against one request that crashes engine after engine.
TEST_CASE("a crashed engine is reported, and a request with two crashes is refused")
{
    ProxyFixture fixture;
    std::thread killer;
    fixture.prefill.on("/v1/prefill", [&](const httplib::Request &, httplib::Response &response) {
        killer = std::thread([&] { fixture.prefill.stop(); });
        fixture.prefill.streamAndHang(response, "{");
    });
    fixture.start();
    const auto failed = fixture.complete(false);
    killer.join();
    REQUIRE(fixture.crashes().size() == 1);
    CHECK(fixture.crashes()[0].backend == fixture.prefill.address());
    CHECK(failed->get_header_value("Run-Outcome") == "unknown");
    FakeBackend fresh;
    fixture.add(fresh, EngineRole::Prefill);
    {
        const std::scoped_lock lock(fixture.mutex);
        CrashReport second = fixture.reports.at(0);
        second.backend = "elsewhere";
        fixture.reports.push_back(second);
    }
    const auto contained = fixture.complete(false);
    CHECK(contained->status == 422);
    CHECK(ProxyFixture::type(contained) == "crash-contained");
    CHECK(contained->get_header_value("Run-Outcome") == "not-run");
    CHECK(fresh.requests("/v1/prefill").empty());
    CHECK(fixture.complete(false, {}, "another prompt")->status == 200);
}

// Guards against sound requests that are refused because they were running at engines that another request crashed.
TEST_CASE("a crash is not attributed to a request that its engine had begun to answer")
{
    ProxyFixture fixture;
    std::thread killer;
    fixture.decode.on("/v1/decode", [&](const httplib::Request &request, httplib::Response &response) {
        killer = std::thread([&] {
            std::this_thread::sleep_for(Millis(100));
            fixture.decode.stop();
        });
        fixture.decode.streamAndHang(response, FakeBackend::event(FakeBackend::idOf(request), 0, "a"));
    });
    fixture.start();
    const std::string answer = readAll(fixture.connectRaw(ProxyFixture::rawCompletion(true)));
    killer.join();
    CHECK(answer.find("\"a\"") != std::string::npos);
    CHECK(answer.find("[DONE]") == std::string::npos);
    CHECK(fixture.crashes().empty());
}

TEST_CASE("a resent model request is refused while the original runs, then gets its result")
{
    ProxyFixture fixture;
    fixture.decode.on("/v1/decode", [](const httplib::Request &request, httplib::Response &response) {
        std::this_thread::sleep_for(Millis(150));
        const std::string id = FakeBackend::idOf(request);
        FakeBackend::stream(response, FakeBackend::event(id, 0, "a") + "data: [DONE]\n\n");
    });
    fixture.start();
    const httplib::Headers key{{"Idempotency-Key", "k"}};
    int status = 0;
    std::thread original([&] { status = fixture.complete(false, key)->status; });
    CHECK(ProxyFixture::eventually([&] { return !fixture.decode.requests("/v1/decode").empty(); }));
    const auto duplicate = fixture.complete(false, key);
    CHECK(duplicate->status == 409);
    CHECK(duplicate->get_header_value("Run-Outcome") == "unknown");
    original.join();
    CHECK(status == 200);
    CHECK(fixture.complete(false, key)->get_header_value("Idempotent-Replay") == "true");
    CHECK(fixture.complete(false, key, "other prompt")->status == 409);
    CHECK(fixture.prefill.requests("/v1/prefill").size() == 1);
}

// Guards against retries that multiply the traffic.
TEST_CASE("retries of refused prefills stop when the retry budget is exhausted")
{
    ProxyFixture fixture;
    fixture.prefill.on("/v1/prefill", [](const httplib::Request &, httplib::Response &response) {
        response.status = 429;
        response.set_header("Run-Outcome", "not-run");
    });
    fixture.start();
    for (int i = 0; i < 30; ++i) {
        CHECK(fixture.complete(false)->get_header_value("Run-Outcome") == "not-run");
    }
    // 30 requests, a burst of 10 retries and one more for every five requests.
    CHECK(fixture.prefill.requests("/v1/prefill").size() <= 46);
}
