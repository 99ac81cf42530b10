#include "eventsplitter.h"

#include "cyclamencross/base/number.h"

namespace Cyclamen
{

namespace
{

std::optional<std::int64_t> parseId(std::string_view event)
{
    std::optional<std::int64_t> id;
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            if (const auto number = parseNumber(line)) {
                id = std::int64_t(*number);
            }
        }
    }
    return id;
}

// Returns the length of the first complete event including the empty line that ends it, or 0.
std::size_t firstEventLength(std::string_view bytes)
{
    const auto lineFeedOnly = bytes.find("\n\n");
    const auto withCarriageReturn = bytes.find("\n\r\n");
    if (lineFeedOnly == std::string_view::npos && withCarriageReturn == std::string_view::npos) {
        return 0;
    }
    return lineFeedOnly < withCarriageReturn ? lineFeedOnly + 2 : withCarriageReturn + 3;
}

}

std::vector<EventSplitter::Event> EventSplitter::feed(std::string_view bytes)
{
    this->buffer += bytes;
    std::vector<Event> events;
    std::string_view remaining = this->buffer;
    while (const std::size_t length = firstEventLength(remaining)) {
        const std::string_view text = remaining.substr(0, length);
        events.push_back(Event{std::string(text), parseId(text)});
        remaining.remove_prefix(length);
    }
    this->buffer.erase(0, this->buffer.size() - remaining.size());
    return events;
}

bool EventSplitter::hasPartialEvent() const
{
    return !this->buffer.empty();
}

bool EventSplitter::isOverlong() const
{
    return this->buffer.size() > MaxEventBytes;
}

}
