#include "sseparser.h"
#include "streamcheck.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace Cyclamen;

namespace
{

std::string event(int index, const std::string &id = "r1")
{
    return "{\"request_id\":\"" + id + "\",\"index\":" + std::to_string(index) + ",\"text\":\"t\"}";
}

}

// Guards against events lost or merged where the network cuts the stream.
TEST_CASE("a stream gives the same events however it is cut")
{
    const bool held = rc::check("any two cuts", [] {
        const std::string stream = ": comment\n\ndata: a\n\ndata: b\r\n\r\nevent: x\ndata: c\ndata: d\n\ndata:e\n\n";
        const auto first = *rc::gen::inRange<std::size_t>(0, stream.size());
        const auto second = *rc::gen::inRange<std::size_t>(first, stream.size());
        std::vector<std::string> events;
        SseParser parser;
        const auto collect = [&events](std::string_view data) {
            events.emplace_back(data);
            return true;
        };
        for (const std::string &part :
             {stream.substr(0, first), stream.substr(first, second - first), stream.substr(second)}) {
            RC_ASSERT(parser.add(part, collect));
        }
        RC_ASSERT(events == std::vector<std::string>({"a", "b", "c\nd", "e"}));
    });
    CHECK(held);
}

// Guards against memory filled by an event without an end.
TEST_CASE("an event without an end is refused")
{
    SseParser parser;
    const std::string part(SseParser::MaxEventBytes / 2 + 1, 'x');
    const auto any = [](std::string_view) { return true; };
    CHECK(parser.add("data: " + part, any));
    CHECK(!parser.add(part, any));
}

TEST_CASE("only a contiguous stream of the same request with an end mark is complete")
{
    const auto run = [](const std::vector<std::string> &events) {
        StreamCheck check("r1");
        for (const std::string &data : events) {
            check.take(data);
        }
        return check.complete();
    };
    CHECK(run({event(0), event(1), "[DONE]"}));
    CHECK(!run({event(0), event(1)}));
    CHECK(!run({event(0), event(2), "[DONE]"}));
    CHECK(!run({event(1), "[DONE]"}));
    CHECK(!run({event(0), event(0), "[DONE]"}));
    CHECK(!run({event(0), event(1, "r2"), "[DONE]"}));
    CHECK(!run({event(0), "[DONE]", event(1)}));
    CHECK(!run({"{\"index\":0,\"text\":\"t\"}", "[DONE]"}));
    CHECK(!run({"not json", "[DONE]"}));
}

// Guards against text delivered twice after a resume.
TEST_CASE("a resumed stream may repeat what was delivered but not skip")
{
    StreamCheck check("r1");
    CHECK(check.take(event(0)));
    CHECK(check.take(event(1)));
    check.resume();
    CHECK(check.nextIndex() == 2);
    CHECK(!check.take(event(1)));
    CHECK(check.violation().empty());
    CHECK(check.take(event(2)));
    CHECK(!check.take(event(4)));
    CHECK(!check.violation().empty());
}
