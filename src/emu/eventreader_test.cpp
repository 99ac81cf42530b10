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

TEST_CASE("A complete answer is recognised however its bytes are split", "[emu]")
{
    // Guards against counting an answer as incomplete because a packet ended within an event.
    const std::string tag = promptTag("a prompt");
    const std::string body = event(outputText(tag, 0)) + event(outputText(tag, 1)) + "data: [DONE]\n\n";
    EventReader reader(tag);
    for (const char byte : body) {
        reader.feed(std::string_view(&byte, 1));
    }
    CHECK(reader.outputs() == 2);
    CHECK(reader.ended());
    CHECK_FALSE(reader.wrong());
}

TEST_CASE("Text of another prompt, a gap and output after the end are reported as wrong", "[emu]")
{
    // Guards against a benchmark that counts an incorrect answer as goodput.
    const std::string tag = promptTag("a prompt");
    EventReader other(tag);
    other.feed(event(outputText(promptTag("another prompt"), 0)));
    CHECK(other.wrong());
    EventReader gap(tag);
    gap.feed(event(outputText(tag, 0)) + event(outputText(tag, 2)));
    CHECK(gap.wrong());
    EventReader late(tag);
    late.feed("data: [DONE]\n\n" + event(outputText(tag, 0)));
    CHECK(late.wrong());
}

TEST_CASE("The outcome is read from an error event", "[emu]")
{
    // Guards against counting a reported failure as a broken stream.
    EventReader reader("tag");
    reader.feed("data: {\"error\":{\"outcome\":\"failed\",\"message\":\"engine lost\"}}\n\n");
    CHECK(reader.failure() == "failed");
    CHECK_FALSE(reader.ended());
}
