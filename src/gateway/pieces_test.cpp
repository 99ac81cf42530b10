#include "eventsplitter.h"
#include "leadership.h"
#include "memberrecord.h"
#include "peerreport.h"
#include "stageplancodec.h"

#include "cyclamencross/gateway/headerlist.h"

#include <limits>
#include <random>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The event splitter returns only complete events, however the bytes are split")
{
    // Guards against forwarding part of an event when the engine's connection breaks in the middle of it.
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        EventSplitter splitter;
        std::vector<EventSplitter::Event> events;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            for (const EventSplitter::Event &event : splitter.feed(stream.substr(at, step))) {
                events.push_back(event);
            }
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0] == EventSplitter::Event{"id: 1\ndata: a\n\n", 1});
        CHECK(events[1].id == std::optional<std::int64_t>(2));
        CHECK_FALSE(events[2].id.has_value());
        CHECK(splitter.hasPartialEvent());
    }
}

TEST_CASE("The event splitter examines each byte a bounded number of times, however the bytes are split")
{
    // Guards against a router that is busy with one stream: the cost of an event that came in many small parts, and of
    // many events that came at once, was quadratic.
    const std::string end = GENERATE("\n\n", "\n\r\n", "\r\n\r\n");
    std::string longEvent = "id: 1\n";
    while (longEvent.size() < 20'000) {
        longEvent += "data: x\r\n\rdata: y\n"; // Looks like the end of an event at first.
    }
    std::string stream = longEvent + "data: z" + end;
    for (int id = 2; id < 1'000; ++id) {
        stream += "id: " + std::to_string(id) + end;
    }
    for (const std::size_t step : {std::size_t(1), std::size_t(2), std::size_t(3), std::size_t(1000), stream.size()}) {
        EventSplitter splitter;
        std::size_t events = 0;
        std::size_t bytes = 0;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            for (const EventSplitter::Event &event : splitter.feed(stream.substr(at, step))) {
                ++events;
                bytes += event.text.size();
            }
        }
        CHECK(events == 999);
        CHECK(bytes == stream.size());
        CHECK(splitter.examinedBytes() >= stream.size());
        CHECK(splitter.examinedBytes() <= 3 * stream.size());
    }
}

TEST_CASE("An end of an event is found wherever it is split between two parts")
{
    // Guards against a search that goes on behind the first bytes of an end, and against a part that is taken for one.
    for (const std::string end : {"\n\n", "\n\r\n"}) {
        for (const std::string start : {"data: a", "data: a\r", "data: a\n\r\r", "data: a\n\rb", "data: a\nb\r"}) {
            const std::string stream = start + end + "x";
            for (std::size_t first = 0; first <= stream.size(); ++first) {
                for (std::size_t second = first; second <= stream.size(); ++second) {
                    EventSplitter splitter;
                    auto events = splitter.feed(stream.substr(0, first));
                    for (const std::string &part : {stream.substr(first, second - first), stream.substr(second)}) {
                        const auto more = splitter.feed(part);
                        events.insert(events.end(), more.begin(), more.end());
                    }
                    REQUIRE(events.size() == 1);
                    CHECK(events[0].text == start + end);
                    CHECK(splitter.hasPartialEvent());
                }
            }
        }
    }
}

TEST_CASE("An incomplete event takes memory of the budget until it is complete")
{
    // Guards against streams whose unfinished events together take a router beyond its memory limit.
    const auto budget = std::make_shared<MemoryBudget>(1U << 20U);
    EventSplitter splitter(MemoryLease(budget, MemoryBudget::Use::ResponseBody));
    CHECK(splitter.feed("data: " + std::string(100'000, 'x')).empty());
    CHECK(budget->heldBytes() >= 100'006);
    CHECK(budget->heldBytes() <= 2 * 100'006);
    CHECK(splitter.feed("\n\nda").size() == 1);
    CHECK(budget->heldBytes() == 0); // A few bytes are not counted.
    CHECK(splitter.feed("ta: b\n\n").size() == 1);
    CHECK(budget->heldBytes() == 0);
    CHECK(splitter.feed("data: " + std::string(50'000, 'x')).empty());
    CHECK(budget->heldBytes() >= 50'006);
    splitter = EventSplitter();
    CHECK(budget->heldBytes() == 0);
}

TEST_CASE("An incomplete event beyond the budget is dropped and takes no more memory")
{
    // Guards against an event that grows although its memory was refused, and against a stream that counts as whole
    // after a part of it was dropped.
    const auto budget = std::make_shared<MemoryBudget>(1U << 19U);
    MemoryLease other(budget, MemoryBudget::Use::ResponseBody);
    REQUIRE(other.growTo(100'000));
    EventSplitter splitter(MemoryLease(budget, MemoryBudget::Use::ResponseBody));
    std::size_t fed = 0;
    const auto ceiling = std::size_t(double(budget->limit()) * MemoryBudget::LargeResponseShare);
    while (!splitter.isRefused() && fed < EventSplitter::MaxEventBytes) {
        CHECK(splitter.feed(std::string(10'000, 'x')).empty());
        fed += 10'000;
        CHECK(budget->heldBytes() <= ceiling);
    }
    CHECK(splitter.isRefused());
    CHECK(fed >= 100'000);
    CHECK(fed <= ceiling);
    CHECK(budget->heldBytes() == 100'000);
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.feed(std::string(10'000, 'x') + "\n\ndata: a\n\n").empty());
    CHECK(budget->heldBytes() == 100'000);
}

TEST_CASE("Complete events need no memory of the budget, also in a part that ends with one that is refused")
{
    // Guards against sound streams that break off because other answers fill the budget.
    const auto budget = std::make_shared<MemoryBudget>(100);
    EventSplitter splitter(MemoryLease(budget, MemoryBudget::Use::ResponseBody));
    CHECK(splitter.feed("data: " + std::string(1000, 'x') + "\n\n").size() == 1);
    CHECK_FALSE(splitter.isRefused());
    CHECK(splitter.feed("data: a\n\ndata: b\n\n" + std::string(1000, 'x')).size() == 2);
    CHECK_FALSE(splitter.isRefused());
    CHECK(splitter.feed("\n\ndata: a\n\ndata: b\n\n" + std::string(2000, 'x')).size() == 3);
    CHECK(splitter.isRefused());
}

TEST_CASE("Hop-by-hop headers are removed")
{
    // Guards against forwarding headers that concern only one connection, among them those that Connection lists.
    HeaderList headers;
    headers.add("Connection", "close, X-Hop");
    headers.add("x-hop", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("X-End", "2");
    headers.removeConnectionHeaders();
    CHECK(headers.text() == "X-End: 2\r\n");
}

TEST_CASE("A router registration round-trips; malformed ones are rejected")
{
    const RouterMember member{"r1", 7, "z", "10.0.0.1:80", "10.0.0.1:81"};
    CHECK(decodeMember("r1", encodeMember(member)) == member);
    // Guards against a record of an earlier version that makes its router invisible.
    const auto withoutZone =
        decodeMember("r1", R"({"incarnation":7,"caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81"})");
    REQUIRE(withoutZone.has_value());
    CHECK(withoutZone->zone.empty());
    CHECK_FALSE(decodeMember("r1", "{}").has_value());
    CHECK_FALSE(decodeMember("r1", "not json").has_value());
    CHECK_FALSE(decodeMember("r1",
                             R"({"incarnation":"7","zone":"z","caller_address":"10.0.0.1:80",)"
                             R"("peer_address":"10.0.0.1:81"})")
                    .has_value());
}

TEST_CASE("The leader's record and the stage plan round-trip; malformed ones are rejected")
{
    const Leadership leadership{"r1", 7, 5, 42};
    CHECK(decodeLeadership(encodeLeadership(leadership), 42) == leadership);
    CHECK(decodeLeadership(R"({"router":"r1","incarnation":7})", 1) == Leadership{"r1", 7, 0, 1});
    CHECK_FALSE(decodeLeadership("[]", 1).has_value());
    CHECK_FALSE(decodeLeadership(R"({"router":1,"incarnation":7})", 1).has_value());
    CHECK_FALSE(decodeLeadership(R"({"router":"r1","incarnation":-7})", 1).has_value());
    const StagePlan plan{{{"e1", EngineStage::Decode}, {"e2", EngineStage::Prefill}}};
    CHECK(decodeStagePlan(encodeStagePlan(plan)) == plan);
    CHECK_FALSE(decodeStagePlan("not json").has_value());
    CHECK_FALSE(decodeStagePlan(R"({"engines":["e1"]})").has_value());
    CHECK_FALSE(decodeStagePlan(R"({"engines":{"e1":"other"}})").has_value());
    CHECK_FALSE(decodeStagePlan(R"({"engines":{"e1":1}})").has_value());
}

TEST_CASE("A peer report round-trips; truncated ones are rejected")
{
    PeerReport report;
    report.router = "r1";
    report.incarnation = 3;
    report.sequence = 4;
    report.storeRevision = 9;
    report.work["e"] = BackendWork{1, 2, KvCacheForecast::constant(3)};
    report.isGroupReport = true;
    report.groupWork["e"] = BackendWork{1, 0, {}};
    report.knowsOtherGroups = true;
    report.sentAt = Millis(11);
    report.cutOff = {"s", "t"};
    report.clockOffset = GENERATE(std::optional<Millis>(), std::optional<Millis>(Millis(-12)));
    report.otherGroupsWork["e"] = BackendWork{4, 0, {}};
    report.streams.push_back(StreamSample{"r", "s", 1, 2, 3});
    report.namedLimits["e"] = NamedLimit{2.5, Millis(6)};
    report.statements["e"] = StatementNews{"10.0.0.1:1", 8, Millis(9), Millis(10)};
    report.outcomes["e"] = PeerReport::Outcomes{1, 2, 3};
    report.crashes.push_back(
        CrashedCall{1, "e", {{"part:a", true}, {"request:b", false}}, Millis(3), Millis(4), Millis(5)});
    report.servedSuspects.push_back(ServedSuspect{"part:a", Millis(5), Millis(6)});
    const std::string bytes = encodePeerReport(report);
    PeerReport decoded;
    REQUIRE(decodePeerReport(bytes, decoded));
    CHECK(decoded == report);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decodePeerReport(bytes.substr(0, length), decoded));
    }
}

TEST_CASE("Peer reports with values that a router cannot calculate with are rejected")
{
    // Guards against undefined behaviour that one damaged datagram causes.
    PeerReport report;
    report.router = "r1";
    PeerReport decoded;
    const std::string oldest = encodePeerReport(report, 0);
    const std::string newest = encodePeerReport(report);
    const std::size_t prefix = newest.size() - oldest.size(); // What the newest format has in addition.
    for (std::string bytes : {oldest, newest}) {
        REQUIRE(decodePeerReport(bytes, decoded));
        // The first field is a bool; the byte before it stands for the byte order.
        bytes[bytes.size() - oldest.size() + 1] = 2;
        CHECK_FALSE(decodePeerReport(bytes, decoded));
    }
    for (std::size_t length = 1; length < prefix; ++length) {
        CHECK_FALSE(decodePeerReport(newest.substr(0, length) + newest.substr(prefix), decoded));
    }

    const auto isAccepted = [&report](const auto &damage) {
        PeerReport damaged = report;
        damage(damaged);
        PeerReport result;
        return decodePeerReport(encodePeerReport(damaged), result);
    };
    static constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    CHECK(isAccepted([](PeerReport & /*report*/) {}));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.changesKnownAge = Millis(Most); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.changesKnownAge = Millis(-Most); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.work["e"].requests = Most; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.waiting["s"].promptTokens = -Most; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.groupWork["e"].kvCache = KvCacheForecast::constant(Most); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.otherGroupsWork["e"].requests = Most; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.reportedCalls["e"] = Most; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.namedLimits["e"].age = Millis(Most); }));
    CHECK_FALSE(isAccepted([&](PeerReport &one) { one.namedLimits["e"].requestsPerSecond = notANumber; }));
    CHECK_FALSE(isAccepted([&](PeerReport &one) { one.stageLoads["s"].decodeUse = notANumber; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.stageLoads["s"].prefillRequests = -1; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.stageLoads["s"].prefillEngines = std::size_t(Most); }));
    CHECK_FALSE(isAccepted([&](PeerReport &one) { one.slowdowns["e"].factor = notANumber; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.slowdowns["e"].factor = 0; }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.slowdowns["e"].age = Millis(Most); }));
    CHECK_FALSE(isAccepted([&](PeerReport &one) { one.outcomes["e"].paceSum = notANumber; }));
    CHECK_FALSE(isAccepted([&](PeerReport &one) { one.streams.push_back({"r", "s", 1, 1, notANumber}); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.streams.push_back({"r", "s", Most, 1, 1}); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.crashes.push_back({1, "e", {}, Millis(Most), Millis(0)}); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.crashes.push_back({1, "e", {}, Millis(0), Millis(Most)}); }));
    CHECK_FALSE(isAccepted([](PeerReport &one) { one.servedSuspects.push_back({"s", Millis(-Most)}); }));
    CHECK(isAccepted(
        [](PeerReport &one) { one.namedLimits["e"].requestsPerSecond = std::numeric_limits<double>::infinity(); }));
}

TEST_CASE("Malformed peer reports are rejected without allocating the memory that they claim to need")
{
    // Guards against a router that is killed for its memory use by one datagram with a damaged length.
    PeerReport report;
    report.router = "r1";
    report.changes.upTo = 4;
    report.changes.items.push_back(StoreItem{"key", "value", 4, false});
    report.work["e"] = BackendWork{1, 2, KvCacheForecast::constant(3)};
    report.statements["e"] = StatementNews{"10.0.0.1:1", 8, Millis(9), Millis(10)};
    report.crashes.push_back(
        CrashedCall{1, "e", {{"part:a", true}, {"request:b", false}}, Millis(3), Millis(4), Millis(5)});
    report.servedSuspects.push_back(ServedSuspect{"part:a", Millis(5)});
    const std::string bytes = encodePeerReport(report);
    PeerReport decoded;
    CHECK_FALSE(decodePeerReport(bytes + "x", decoded));
    for (std::size_t at = 0; at + 8 <= bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged.replace(at, 8, std::string("\x00\x00\x00\x00\x40\x00\x00\x00", 8)); // 2^38 as a length.
        decoded = PeerReport();
        decodePeerReport(damaged, decoded);
        CHECK(decoded.changes.items.capacity() <= bytes.size());
        CHECK(decoded.crashes.capacity() <= bytes.size());
        CHECK(decoded.router.capacity() <= bytes.size() + 16);
    }
    std::mt19937 generator(11);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = bytes.substr(0, 1 + generator() % bytes.size());
        for (int changes = 0; changes < 4; ++changes) {
            damaged[generator() % damaged.size()] = char(generator());
        }
        decodePeerReport(damaged, decoded);
    }
}
