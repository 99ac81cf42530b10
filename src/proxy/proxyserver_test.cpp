#include <catch2/catch.hpp>

#include "proxyfixture_test.h"

using namespace Cyclamen;

// Guards against lost or reordered events, a missing end marker, and capacity that is not released on both engines.
TEST_CASE("a streaming completion relays every event and the end marker")
{
    ProxyFixture fixture;
    fixture.start();
    const auto result = fixture.complete(true);
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(result->get_header_value("Content-Type") == "text/event-stream");
    const auto first = result->body.find("\"text\":\"Hel\"");
    const auto second = result->body.find("\"text\":\"lo\"");
    CHECK(first != std::string::npos);
    CHECK(second > first);
    CHECK(result->body.ends_with("data: [DONE]\n\n"));
    CHECK(ProxyFixture::eventually([&] { return fixture.grantsHeld == 0; }));
    CHECK(fixture.metricValue("cyclamencross_goodput_total{model=\"m1\",workspace=\"default\"}") == 1);
}

TEST_CASE("a non-streaming chat completion joins the text of all events")
{
    ProxyFixture fixture;
    fixture.start();
    const auto result = fixture.client().Post(
        "/v1/chat/completions", "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
        "application/json");
    REQUIRE(result);
    CHECK(result->status == 200);
    const auto answer = nlohmann::json::parse(result->body);
    CHECK(answer["choices"][0]["message"]["content"] == "Hello");
    CHECK(answer["usage"]["completion_tokens"] == 2);
}

// Guards against a success response built from another request's events, from a stream with a gap, or from a truncated
// stream.
TEST_CASE("an invalid or truncated stream is never reported as a success")
{
    const bool stream = GENERATE(false, true);
    const std::string fault = GENERATE("crossed", "gap", "no end marker");
    ProxyFixture fixture;
    fixture.decode.on("/v1/decode", [fault](const httplib::Request &request, httplib::Response &response) {
        const std::string id = FakeBackend::idOf(request);
        std::string events = FakeBackend::event(fault == "crossed" ? "other" : id, 0, "a");
        if (fault == "gap") {
            events += FakeBackend::event(id, 2, "c");
        }
        FakeBackend::stream(response, events + (fault == "no end marker" ? "" : "data: [DONE]\n\n"));
    });
    fixture.start();
    const auto result = fixture.complete(stream);
    if (!result) {
        return; // The connection was closed, as required once a stream has started.
    }
    CHECK(result->body.find("[DONE]") == std::string::npos);
    CHECK(result->status >= 500);
    CHECK(result->get_header_value("Run-Outcome") == "failed");
    CHECK(ProxyFixture::eventually([&] { return fixture.grantsHeld == 0; }));
    CHECK(!fixture.decode.requests("/v1/cancel").empty());
}

// Guards against a lost error event, or an end marker after it, when a stream breaks after its first output.
TEST_CASE("a stream that breaks after its first output ends with an error event and no end marker")
{
    ProxyFixture fixture;
    fixture.decode.on("/v1/decode", [](const httplib::Request &request, httplib::Response &response) {
        FakeBackend::stream(response, FakeBackend::event(FakeBackend::idOf(request), 0, "a"), false);
    });
    fixture.start();
    const int fd = fixture.connectRaw(ProxyFixture::rawCompletion(true));
    std::string received;
    char buffer[4096];
    for (ssize_t got = 0; (got = recv(fd, buffer, sizeof buffer, 0)) > 0;) {
        received.append(buffer, static_cast<std::size_t>(got));
    }
    close(fd);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("event: error") != std::string::npos);
    CHECK(received.find("\"outcome\":\"failed\"") != std::string::npos);
    CHECK(received.find("[DONE]") == std::string::npos);
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a truncated stream is resumed at the next index")
{
    ProxyFixture fixture;
    fixture.decode.on("/v1/decode", [](const httplib::Request &request, httplib::Response &response) {
        FakeBackend::stream(response, FakeBackend::event(FakeBackend::idOf(request), 0, "Hel"), false);
    });
    fixture.decode.on("/v1/resume", [](const httplib::Request &request, httplib::Response &response) {
        const auto body = nlohmann::json::parse(request.body);
        FakeBackend::stream(response, FakeBackend::event(body["request_id"], 1, "lo") + "data: [DONE]\n\n");
    });
    fixture.start();
    const auto result = fixture.complete(false);
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(nlohmann::json::parse(result->body)["choices"][0]["text"] == "Hello");
    const auto resumed = fixture.decode.requests("/v1/resume");
    REQUIRE(resumed.size() == 1);
    CHECK(nlohmann::json::parse(resumed[0].body)["from_index"] == 1);
}

// Guards against decoding with another request's prefill response, or with one that has no handle.
TEST_CASE("a prefill response with a wrong id or without a handle is not used")
{
    ProxyFixture fixture;
    const bool wrongId = GENERATE(false, true);
    fixture.prefill.on("/v1/prefill", [wrongId](const httplib::Request &request, httplib::Response &response) {
        nlohmann::json answer{{"request_id", wrongId ? "other" : FakeBackend::idOf(request)}};
        if (wrongId) {
            answer["handle"] = "h1";
        }
        response.set_content(answer.dump(), "application/json");
    });
    fixture.start();
    const auto result = fixture.complete(false);
    REQUIRE(result);
    CHECK(result->status == 502);
    CHECK(ProxyFixture::type(result) == "engine-protocol");
    CHECK(result->get_header_value("Run-Outcome") == "failed");
    CHECK(fixture.decode.requests("/v1/decode").empty());
}

TEST_CASE("refusals before any work report outcome not-run and the specific error")
{
    ProxyFixture fixture;
    SECTION("no capacity")
    {
        fixture.refuseRequests = true;
        fixture.start();
        const auto result = fixture.complete(true);
        CHECK(result->status == 503);
        CHECK(ProxyFixture::type(result) == "no-capacity");
        CHECK(!result->get_header_value("Retry-After").empty());
        CHECK(result->get_header_value("Run-Outcome") == "not-run");
    }
    SECTION("isolated")
    {
        fixture.view.isolated = true;
        fixture.start();
        const auto result = fixture.complete(true);
        CHECK(result->status == 503);
        CHECK(ProxyFixture::type(result) == "isolated");
    }
    SECTION("unknown model")
    {
        fixture.start();
        const auto result =
            fixture.client().Post("/v1/completions", "{\"model\":\"m9\",\"prompt\":\"x\"}", "text/json");
        CHECK(result->status == 404);
        CHECK(ProxyFixture::type(result) == "unknown-model");
    }
    SECTION("malformed JSON")
    {
        fixture.start();
        const auto result = fixture.client().Post("/v1/completions", "{\"model\":", "text/json");
        CHECK(result->status == 400);
        CHECK(ProxyFixture::type(result) == "invalid-request");
    }
    CHECK(fixture.prefill.requests("/v1/prefill").empty());
}

// Guards against a request that is refused because of engines that crashed or began to leave a moment ago, although
// others are free. Such an engine has no queue, so that it ranks before those that work.
TEST_CASE("a request is served although most engines are out of use")
{
    ProxyFixture fixture;
    for (const EngineRole role : {EngineRole::Prefill, EngineRole::Decode}) {
        for (int number = 1; number <= 4; ++number) {
            const std::string address =
                "127.0.0." + std::to_string(number) + (role == EngineRole::Prefill ? ":1" : ":2");
            fixture.enginesOutOfUse.insert(address);
            fixture.view.backends.push_back({address, BackendKind::Engine, "pool", "m1", role, "z1", {}, true});
        }
    }
    fixture.start();
    for (int request = 0; request < 10; ++request) {
        CHECK(fixture.complete(false)->status == 200);
    }
}

// Guards against dispatching work to a backend server that is leaving.
TEST_CASE("an engine that is leaving gets no new work")
{
    ProxyFixture fixture;
    fixture.setState(fixture.prefill, BackendState::Leaving);
    fixture.start();
    const auto result = fixture.complete(false);
    CHECK(result->status == 503);
    CHECK(result->get_header_value("Run-Outcome") == "not-run");
    CHECK(fixture.prefill.requests("/v1/prefill").empty());
}

// Guards against engine capacity that stays reserved after the caller disconnected, at each stage of the request.
TEST_CASE("a caller's disconnect is detected promptly and cancels the work on both engines")
{
    ProxyFixture fixture;
    const int stage = GENERATE(0, 1, 2, 3, 4);
    const auto hang = [&fixture](const httplib::Request &, httplib::Response &response) {
        fixture.decode.streamAndHang(response, ": waiting\n\n");
    };
    const bool stream = stage != 3;
    if (stage == 0) {
        fixture.blockRequests = true;
    } else if (stage == 1) {
        fixture.prefill.on("/v1/prefill", [&fixture](const httplib::Request &, httplib::Response &response) {
            fixture.prefill.streamAndHang(response, "{");
        });
    } else if (stage == 2) {
        fixture.decode.on("/v1/decode", hang);
    } else {
        fixture.decode.on("/v1/decode", [&fixture](const httplib::Request &request, httplib::Response &response) {
            fixture.decode.streamAndHang(response, FakeBackend::event(FakeBackend::idOf(request), 0, "a"));
        });
    }
    fixture.start();
    const int fd = fixture.connectRaw(ProxyFixture::rawCompletion(stream));
    const char *path = stage == 1 ? "/v1/prefill" : "/v1/decode";
    const FakeBackend &busy = stage == 1 ? fixture.prefill : fixture.decode;
    if (stage == 0) {
        CHECK(ProxyFixture::eventually([&] { return fixture.proxy->inProgress() == 1; }));
    } else {
        CHECK(ProxyFixture::eventually([&] { return !busy.requests(path).empty(); }));
    }
    std::this_thread::sleep_for(Millis(30));
    const TimePoint closeTime = Clock::now();
    close(fd);
    CHECK(ProxyFixture::eventually([&] { return fixture.proxy->inProgress() == 0; }));
    CHECK(Clock::now() - closeTime < Millis(1000));
    CHECK(fixture.grantsHeld == 0);
    if (stage >= 1) {
        CHECK(fixture.prefill.requests("/v1/cancel").size() == 1);
    }
    if (stage >= 2) {
        CHECK(fixture.decode.requests("/v1/cancel").size() == 1);
        CHECK(ProxyFixture::eventually([&] { return fixture.decode.closedByPeer.load(); }));
    }
}
