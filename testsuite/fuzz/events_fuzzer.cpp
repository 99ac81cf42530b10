// Streams of events (EventSplitter).

#include "check.h"
#include "eventsplitter.h"

using namespace Cyclamen;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size < 1) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    EventSplitter whole;
    const auto expected = whole.feed(bytes);
    std::string text;
    for (const EventSplitter::Event &event : expected) {
        check(event.text.ends_with("\n\n") || event.text.ends_with("\n\r\n"), "an event ends with an empty line");
        text += event.text;
    }
    check(bytes.starts_with(text), "the events are the bytes in their order");
    check(whole.hasPartialEvent() == (text.size() < bytes.size()), "what is left is a partial event");

    // The first byte is the size of the pieces.
    EventSplitter parts;
    std::vector<EventSplitter::Event> events;
    const std::size_t piece = std::size_t(data[0]) + 1;
    for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
        const auto some = parts.feed(bytes.substr(begin, piece));
        events.insert(events.end(), some.begin(), some.end());
    }
    check(events == expected, "the events do not depend on how the bytes arrive");
    check(parts.hasPartialEvent() == whole.hasPartialEvent(), "nor does what is left");
    return 0;
}
