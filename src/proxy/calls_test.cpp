#include "callregistry.h"
#include "peercall.h"
#include "ticket.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Cyclamen;
using KeyStatus = CallRegistry::KeyStatus;

// Guards against tickets that are forged or altered by someone without the shared key.
TEST_CASE("a ticket is valid only if unaltered and read with the same key")
{
    const Ticket ticket{"10.0.0.1:8102", 0xABCDEF, Millis(12345)};
    const std::string text = issueTicket(ticket, "key");
    CHECK(readTicket(text, "key") == ticket);
    CHECK(!readTicket(text, "other key"));
    CHECK(issueTicket(ticket, "key") != text);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string altered = text;
        altered[i] = altered[i] == '1' ? '2' : '1';
        CHECK(!readTicket(altered, "key"));
        CHECK(!readTicket(text.substr(0, i), "key"));
    }
}

TEST_CASE("a peer call preserves bytes that are not valid UTF-8")
{
    PeerCall call;
    call.request.method = "POST";
    call.request.target = "/services/a/b?c=d";
    call.request.path = "/services/a/b";
    call.request.headers.emplace("X-A", "\xFF");
    call.request.body = std::string("\0\xFE", 2);
    call.incarnation = 0xFFFFFFFFFFFFFFFF;
    call.remaining = Millis(5);
    CHECK(decodePeerCall(encodePeerCall(call)) == call);
    CHECK(!decodePeerCall("x"));
}

TEST_CASE("a key runs once and then returns its result")
{
    TimePoint now;
    CallRegistry registry([&now] { return now; });
    const HttpReply result{201, {}, "booked"};
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::New);
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::Running);
    CHECK(registry.begin("k", "other").keyStatus == KeyStatus::RequestMismatch);
    registry.finish("k", result);
    CHECK(registry.begin("k", "h") == CallRegistry::Lookup{KeyStatus::Finished, result});
    // The result expires before the key does, so the key must not look new.
    now += CallRegistry::ResultLifetime;
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::ResultDropped);
    now += CallRegistry::KeyLifetime;
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::New);
}

// Guards against a refused call that blocks its key, and against the expiry of the refused run removing a newer run of
// the same key.
TEST_CASE("a refused call may be begun again under its key")
{
    TimePoint now;
    CallRegistry registry([&now] { return now; });
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::New);
    registry.markRefused("k");
    CHECK(registry.peek("k", "h").keyStatus == KeyStatus::AfterRefusal);
    now += CallRegistry::KeyLifetime - Millis(1);
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::AfterRefusal);
    now += Millis(2);
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::Running);
    registry.finish("k", {});
    now += Millis(2);
    CHECK(registry.begin("k", "h").keyStatus == KeyStatus::Finished);
}

// Guards against unbounded memory for results, and against a key that is removed together with its result.
TEST_CASE("oversize results and the oldest results are dropped, but their keys are kept")
{
    CallRegistry registry;
    registry.begin("large", "h");
    registry.finish("large", {200, {}, std::string(CallRegistry::MaxResultBytes + 1, 'x')});
    CHECK(registry.begin("large", "h").keyStatus == KeyStatus::ResultDropped);
    const std::size_t fit = CallRegistry::MaxTotalResultBytes / CallRegistry::MaxResultBytes;
    for (std::size_t i = 0; i <= fit; ++i) {
        registry.begin(std::to_string(i), "h");
        registry.finish(std::to_string(i), {200, {}, std::string(CallRegistry::MaxResultBytes, 'x')});
    }
    CHECK(registry.begin("0", "h").keyStatus == KeyStatus::ResultDropped);
    CHECK(registry.begin("1", "h").keyStatus == KeyStatus::Finished);
}

TEST_CASE("a resend waits for the running call until it is cancelled")
{
    CallRegistry registry;
    registry.begin("k", "h");
    CancelSignal cancelled;
    cancelled.cancel(CancelReason::CallerGone);
    CHECK(registry.beginOrWait("k", "h", cancelled).keyStatus == KeyStatus::Running);
    std::thread runner([&registry] {
        std::this_thread::sleep_for(Millis(30));
        registry.finish("k", {201, {}, "booked"});
    });
    const CancelSignal notCancelled;
    CHECK(registry.beginOrWait("k", "h", notCancelled).result.body == "booked");
    runner.join();
}
