#include "callregistry.h"
#include "peercall.h"
#include "ticket.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Cyclamen;
using Standing = CallRegistry::Standing;

// Guards against a ticket that another party could make or alter.
TEST_CASE("a ticket is read back only unaltered and under the same key")
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

TEST_CASE("a peer call keeps bytes that are no UTF-8")
{
    PeerCall call;
    call.request.method = "POST";
    call.request.target = "/services/a/b?c=d";
    call.request.path = "/services/a/b";
    call.request.headers.emplace("X-A", "\xFF");
    call.request.body = std::string("\0\xFE", 2);
    call.incarnation = 0xFFFFFFFFFFFFFFFF;
    call.left = Millis(5);
    CHECK(unpackPeerCall(packPeerCall(call)) == call);
    CHECK(!unpackPeerCall("x"));
}

TEST_CASE("a key runs once and then gives its result")
{
    TimePoint now;
    CallRegistry registry([&now] { return now; });
    const HttpReply result{201, {}, "booked"};
    CHECK(registry.begin("k", "h").standing == Standing::New);
    CHECK(registry.begin("k", "h").standing == Standing::Running);
    CHECK(registry.begin("k", "other").standing == Standing::OtherRequest);
    registry.finish("k", result);
    CHECK(registry.begin("k", "h") == CallRegistry::Answer{Standing::Finished, result});
    // The result expires before the key does, so the key must not look new.
    now += CallRegistry::ResultLifetime;
    CHECK(registry.begin("k", "h").standing == Standing::ResultDropped);
    now += CallRegistry::KeyLifetime;
    CHECK(registry.begin("k", "h").standing == Standing::New);
}

// Guards against a refused call blocking its key, and against its old end making a newer run look new.
TEST_CASE("a refused call may begin again under its key")
{
    TimePoint now;
    CallRegistry registry([&now] { return now; });
    CHECK(registry.begin("k", "h").standing == Standing::New);
    registry.refused("k");
    CHECK(registry.look("k", "h").standing == Standing::Again);
    now += CallRegistry::KeyLifetime - Millis(1);
    CHECK(registry.begin("k", "h").standing == Standing::Again);
    now += Millis(2);
    CHECK(registry.begin("k", "h").standing == Standing::Running);
    registry.finish("k", {});
    now += Millis(2);
    CHECK(registry.begin("k", "h").standing == Standing::Finished);
}

// Guards against results growing without bound, and against forgetting that the call ran.
TEST_CASE("large results and the oldest of too many are dropped, their keys are not")
{
    CallRegistry registry;
    registry.begin("large", "h");
    registry.finish("large", {200, {}, std::string(CallRegistry::MaxBodyBytes + 1, 'x')});
    CHECK(registry.begin("large", "h").standing == Standing::ResultDropped);
    const std::size_t fit = CallRegistry::MaxTotalBytes / CallRegistry::MaxBodyBytes;
    for (std::size_t i = 0; i <= fit; ++i) {
        registry.begin(std::to_string(i), "h");
        registry.finish(std::to_string(i), {200, {}, std::string(CallRegistry::MaxBodyBytes, 'x')});
    }
    CHECK(registry.begin("0", "h").standing == Standing::ResultDropped);
    CHECK(registry.begin("1", "h").standing == Standing::Finished);
}

TEST_CASE("a resend waits for the running call, but not for ever")
{
    CallRegistry registry;
    registry.begin("k", "h");
    CancelSignal gone;
    gone.cancel(CancelReason::CallerGone);
    CHECK(registry.beginOrWait("k", "h", gone).standing == Standing::Running);
    std::thread runner([&registry] {
        std::this_thread::sleep_for(Millis(30));
        registry.finish("k", {201, {}, "booked"});
    });
    const CancelSignal patient;
    CHECK(registry.beginOrWait("k", "h", patient).result.body == "booked");
    runner.join();
}
