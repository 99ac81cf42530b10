#include "eventreader.h"

#include "prompttag.h"

#include <string>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::string event(const std::string &text)
{
    return "data: {\"choices\":[{\"index\":0,\"text\":\"" + text + "\"}]}\n\n";
}

}

TEST_CASE("A whole answer is recognised however it is split", "[emu]")
{
    // Guards against counting an answer as cut because a packet ended within an event.
    const std::string tag = promptTag("a prompt");
    const std::string body = event(outputText(tag, 0)) + event(outputText(tag, 1)) + "data: [DONE]\n\n";
    EventReader reader(tag);
    for (const char byte : body) {
        reader.take(std::string_view(&byte, 1));
    }
    CHECK(reader.outputs() == 2);
    CHECK(reader.ended());
    CHECK_FALSE(reader.wrong());
}

TEST_CASE("Text of another prompt, a gap and output after the end are wrong", "[emu]")
{
    // Guards against a benchmark that counts a mixed-up answer as goodput.
    const std::string tag = promptTag("a prompt");
    EventReader other(tag);
    other.take(event(outputText(promptTag("another prompt"), 0)));
    CHECK(other.wrong());
    EventReader gap(tag);
    gap.take(event(outputText(tag, 0)) + event(outputText(tag, 2)));
    CHECK(gap.wrong());
    EventReader late(tag);
    late.take("data: [DONE]\n\n" + event(outputText(tag, 0)));
    CHECK(late.wrong());
}

TEST_CASE("An error event names the outcome", "[emu]")
{
    // Guards against taking a truthful failure for a cut stream.
    EventReader reader("tag");
    reader.take("data: {\"error\":{\"outcome\":\"failed\",\"message\":\"engine lost\"}}\n\n");
    CHECK(reader.failure() == "failed");
    CHECK_FALSE(reader.ended());
}
