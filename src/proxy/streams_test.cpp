#include "sseparser.h"
#include "streamvalidator.h"

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

// Guards against events that are lost or merged at the boundaries of received chunks.
TEST_CASE("a stream gives the same events however it is split into chunks")
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
            RC_ASSERT(parser.feed(part, collect));
        }
        RC_ASSERT(events == std::vector<std::string>({"a", "b", "c\nd", "e"}));
    });
    CHECK(held);
}

// Guards against unbounded memory for an event that never ends.
TEST_CASE("an event larger than the limit is refused")
{
    SseParser parser;
    const std::string part(SseParser::MaxEventBytes / 2 + 1, 'x');
    const auto any = [](std::string_view) { return true; };
    CHECK(parser.feed("data: " + part, any));
    CHECK(!parser.feed(part, any));
}

TEST_CASE("only a contiguous stream of one request with an end marker is complete")
{
    const auto run = [](const std::vector<std::string> &events) {
        StreamValidator validator("r1");
        for (const std::string &data : events) {
            validator.accept(data);
        }
        return validator.complete();
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

// Guards against text that is delivered twice or skipped after a resume.
TEST_CASE("a resumed stream may repeat accepted events but not skip any")
{
    StreamValidator validator("r1");
    CHECK(validator.accept(event(0)));
    CHECK(validator.accept(event(1)));
    validator.resume();
    CHECK(validator.nextIndex() == 2);
    CHECK(!validator.accept(event(1)));
    CHECK(validator.violation().empty());
    CHECK(validator.accept(event(2)));
    CHECK(!validator.accept(event(4)));
    CHECK(!validator.violation().empty());
}
