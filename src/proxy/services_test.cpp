#include <catch2/catch.hpp>

#include "peercall.h"
#include "proxyfixture_test.h"

using namespace Cyclamen;

namespace
{

const std::string Path = "/services/booking/visits";

void respondWith(FakeBackend &service, int status, const std::string &body)
{
    service.on(Path, [status, body](const httplib::Request &, httplib::Response &response) {
        response.status = status;
        response.set_header("Visit", "7");
        response.set_content(body, "text/plain");
    });
}

/// Responds with a truncated body.
void respondTruncated(FakeBackend &service)
{
    service.on(Path, [](const httplib::Request &, httplib::Response &response) {
        FakeBackend::stream(response, "par", false);
    });
}

httplib::Result post(const ProxyFixture &fixture, const std::string &key, const std::string &body = "visit")
{
    httplib::Headers headers;
    if (!key.empty()) {
        headers.emplace("Idempotency-Key", key);
    }
    return fixture.client().Post(Path + "?a=%20b", headers, body, "text/x-visit");
}

std::string ticketOf(const ProxyFixture &fixture)
{
    const auto entry = fixture.client().Get("/v1/entry?workspace=w&session=s");
    return nlohmann::json::parse(entry->body)["ticket"].get<std::string>();
}

}

// Guards against cpp-httplib parsing, decompressing or range-cutting bodies that must be passed through.
TEST_CASE("a service call is passed through unchanged")
{
    ProxyFixture fixture;
    respondWith(fixture.service, 201, "booked");
    fixture.start();
    const std::string form = "--x\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nvalue\r\n--x--\r\n";
    const auto result = fixture.client().Post(Path + "?a=%20b", form, "multipart/form-data; boundary=x");
    CHECK(result->status == 201);
    CHECK(result->body == "booked");
    CHECK(result->get_header_value("Visit") == "7");
    const auto seen = fixture.service.requests(Path);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].target == Path + "?a=%20b");
    CHECK(seen[0].get_file_value("a").content == "value");
    CHECK(!seen[0].get_header_value("Request-Id").empty());
    const auto range = fixture.client().Get(Path, {{"Range", "bytes=1-2"}, {"Accept-Encoding", "gzip"}});
    CHECK(range->status == 201);
    CHECK(range->body == "oo"); // The range is applied once, by the backend server.
    const auto head = fixture.client().Head(Path);
    CHECK(head->status == 201);
    CHECK(head->get_header_value_count("Content-Length") == 1);
    fixture.service.on(Path, [](const httplib::Request &, httplib::Response &response) { response.status = 404; });
    CHECK(fixture.client().Get(Path)->body.empty());
    const auto unknown = fixture.client().Get("/services/nothing/x");
    CHECK(unknown->status == 404);
    CHECK(unknown->get_header_value("Run-Outcome") == "not-run");
}

// Guards against a booking that is made twice.
TEST_CASE("a POST is sent once, and its outcome is unknown if the response is lost")
{
    ProxyFixture fixture;
    FakeBackend second;
    fixture.addService(second);
    respondTruncated(fixture.service);
    respondTruncated(second);
    fixture.start();
    const std::string key = GENERATE("", "foreign-key");
    const auto result = post(fixture, key);
    CHECK(result->status == 502);
    CHECK(result->get_header_value("Run-Outcome") == "unknown");
    CHECK(fixture.service.requests(Path).size() + second.requests(Path).size() == 1);
}

TEST_CASE("a GET is retried at another server, and a POST only after a refused connection")
{
    ProxyFixture fixture;
    FakeBackend dead;
    fixture.addService(dead);
    dead.stop();
    respondWith(fixture.service, 200, "ok");
    fixture.start();
    for (int i = 0; i < 6; ++i) {
        CHECK(post(fixture, "key-" + std::to_string(i))->status == 200);
        CHECK(fixture.client().Get(Path)->status == 200);
    }
    CHECK(fixture.service.requests(Path).size() == 12);
}

TEST_CASE("a call with a ticket or key runs once and is replayed")
{
    ProxyFixture fixture;
    respondWith(fixture.service, 201, "booked");
    fixture.start();
    const std::string key = GENERATE(true, false) ? ticketOf(fixture) : "foreign-key";
    CHECK(post(fixture, key)->get_header_value_count("Idempotent-Replay") == 0);
    for (const auto &[name, record] : fixture.records) {
        CHECK(record.finished);
        CHECK(record.status == 201);
    }
    const auto replayed = post(fixture, key);
    CHECK(replayed->status == 201);
    CHECK(replayed->body == "booked");
    CHECK(replayed->get_header_value("Idempotent-Replay") == "true");
    const auto other = post(fixture, key, "another visit");
    CHECK(other->status == 409);
    CHECK(other->get_header_value("Run-Outcome") == "not-run");
    // A resend still gets its result while new work is refused.
    fixture.proxy->refuseNewWork();
    CHECK(post(fixture, key)->status == 201);
    CHECK(post(fixture, "new-key")->get_header_value("Run-Outcome") == "not-run");
    CHECK(fixture.service.requests(Path).size() == 1);
}

TEST_CASE("resends of a running call get the same result")
{
    ProxyFixture fixture;
    fixture.service.on(Path, [](const httplib::Request &, httplib::Response &response) {
        std::this_thread::sleep_for(Millis(100));
        response.set_content("booked", "text/plain");
    });
    fixture.start();
    const std::string key = ticketOf(fixture);
    std::vector<std::thread> senders;
    std::atomic<int> booked{0};
    for (int i = 0; i < 8; ++i) {
        senders.emplace_back([&] { booked += post(fixture, key)->body == "booked" ? 1 : 0; });
    }
    for (auto &sender : senders) {
        sender.join();
    }
    CHECK(booked == 8);
    CHECK(fixture.service.requests(Path).size() == 1);
}

// Guards against a call that did not run but blocks its key.
TEST_CASE("a call that the service refused with outcome not-run may be sent again")
{
    ProxyFixture fixture;
    fixture.service.on(Path, [](const httplib::Request &, httplib::Response &response) {
        response.status = 503;
        response.set_header("Run-Outcome", "not-run");
    });
    fixture.start();
    const std::string key = GENERATE(true, false) ? ticketOf(fixture) : "foreign-key";
    CHECK(post(fixture, key)->get_header_value("Run-Outcome") == "not-run");
    respondWith(fixture.service, 201, "booked");
    CHECK(post(fixture, key)->status == 201);
}

TEST_CASE("tickets work without the key-value service, other keys need it")
{
    ProxyFixture fixture;
    respondWith(fixture.service, 201, "booked");
    fixture.keyValueDown = true;
    fixture.start();
    CHECK(post(fixture, ticketOf(fixture))->status == 201);
    const auto refused = post(fixture, "foreign-key");
    CHECK(refused->status == 503);
    CHECK(ProxyFixture::type(refused) == "key-value-unavailable");
    // An earlier call through another entry may have run, so not-run could be wrong.
    CHECK(refused->get_header_value("Run-Outcome") == "unknown");
    // If the response to the write is lost, a record of this attempt may exist; it must not block the key.
    fixture.loseWrites = true;
    CHECK(post(fixture, "lost-write")->get_header_value("Run-Outcome") == "unknown");
    fixture.loseWrites = false;
    fixture.keyValueDown = false;
    CHECK(post(fixture, "lost-write")->status == 201);
    CHECK(fixture.service.requests(Path).size() == 2);
    CHECK(post(fixture, "cxt1.127.0.0.1:1.0.0.0")->status == 400);
}

// Guards against running a call here although its record belongs to an entry that cannot be reached.
TEST_CASE("a call that another entry owns is not run here")
{
    ProxyFixture fixture;
    respondWith(fixture.service, 201, "booked");
    fixture.start();
    const std::string key = "foreign-key";
    post(fixture, key);
    CallRecord record = fixture.records.at("default/" + key);
    record.entry = "entry-2";
    record.adminAddress = "127.0.0.1:" + std::to_string(ProxyFixture::freePort());
    fixture.records["default/other"] = record;
    const auto unreachable = post(fixture, "other");
    CHECK(unreachable->get_header_value("Run-Outcome") == "unknown");
    CHECK(ProxyFixture::type(unreachable) == "owner-unreachable");
    record.bodyHash = "x";
    fixture.records["default/reused"] = record;
    CHECK(post(fixture, "reused")->status == 409);
    CHECK(fixture.service.requests(Path).size() == 1);
}

TEST_CASE("a forwarded call runs once, and not at another incarnation")
{
    ProxyFixture fixture;
    respondWith(fixture.service, 201, "booked");
    fixture.start();
    PeerCall call;
    call.request.method = "POST";
    call.request.target = call.request.path = Path;
    call.request.headers.emplace("Idempotency-Key", ticketOf(fixture));
    call.incarnation = 7;
    call.remaining = Millis(5000);
    const auto forward = [&] {
        return fixture.proxy->answerPeerCall({"POST", "/peer/call", {}, encodePeerCall(call)});
    };
    CHECK(forward().status == 201);
    CHECK(forward().headers.at("Idempotent-Replay") == "true");
    call.incarnation = 8;
    CHECK(forward().headers.at("Run-Outcome") == "unknown");
    CHECK(fixture.service.requests(Path).size() == 1);
    CHECK(fixture.proxy->answerPeerCall({"POST", "/peer/call", {}, "x"}).status == 400);
}

// Guards against losing the result of a running call when its caller disconnects.
TEST_CASE("a call with a key continues after its caller disconnects")
{
    ProxyFixture fixture;
    fixture.service.on(Path, [](const httplib::Request &, httplib::Response &response) {
        std::this_thread::sleep_for(Millis(150));
        response.set_content("booked", "text/plain");
    });
    fixture.start();
    const std::string key = ticketOf(fixture);
    const int fd = fixture.connectRaw("POST " + Path + " HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + key
                                      + "\r\nContent-Length: 0\r\n\r\n");
    CHECK(ProxyFixture::eventually([&] { return fixture.service.requests(Path).size() == 1; }));
    close(fd);
    CHECK(ProxyFixture::eventually([&] { return fixture.proxy->inProgress() == 0; }));
    const auto replayed = fixture.client().Post(Path, {{"Idempotency-Key", key}}, "", "");
    CHECK(replayed->body == "booked");
    CHECK(replayed->get_header_value("Idempotent-Replay") == "true");
    CHECK(fixture.service.requests(Path).size() == 1);
}
