#include "eventcutter.h"

#include "cyclamencross/base/number.h"

namespace Cyclamen
{

namespace
{

std::optional<std::int64_t> findId(std::string_view event)
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

// Returns the length of the first event with the empty line that ends it, or 0.
std::size_t firstEventLength(std::string_view bytes)
{
    const auto plain = bytes.find("\n\n");
    const auto withReturn = bytes.find("\n\r\n");
    if (plain == std::string_view::npos && withReturn == std::string_view::npos) {
        return 0;
    }
    return plain < withReturn ? plain + 2 : withReturn + 3;
}

}

std::vector<EventCutter::Event> EventCutter::feed(std::string_view bytes)
{
    this->rest += bytes;
    std::vector<Event> events;
    std::string_view left = this->rest;
    while (const std::size_t length = firstEventLength(left)) {
        const std::string_view text = left.substr(0, length);
        events.push_back(Event{std::string(text), findId(text)});
        left.remove_prefix(length);
    }
    this->rest.erase(0, this->rest.size() - left.size());
    return events;
}

bool EventCutter::hasRest() const
{
    return !this->rest.empty();
}

bool EventCutter::isOverlong() const
{
    return this->rest.size() > MaxEventBytes;
}

}
