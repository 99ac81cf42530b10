#include "eventsplitter.h"

#include "cyclamencross/base/number.h"

#include <algorithm>
#include <array>
#include <utility>

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

// Bytes that end an event: the end of its last line and an empty line.
constexpr std::array<std::string_view, 2> EventEnds{"\n\n", "\n\r\n"};
constexpr std::size_t LongestEventEnd = 3;
// Incomplete events up to this size are not counted: a stream would break off for a few bytes while others fill the
// budget.
constexpr std::size_t FreeBytes = 1024;

}

EventSplitter::EventSplitter(MemoryLease memory)
    : memory(std::move(memory))
{
}

std::vector<EventSplitter::Event> EventSplitter::feed(std::string_view bytes)
{
    std::vector<Event> events;
    if (this->refused) {
        return events;
    }
    this->buffer += bytes;
    std::size_t begin = 0;
    while (const std::size_t end = this->findEventEnd()) {
        const std::string_view text = std::string_view(this->buffer).substr(begin, end - begin);
        events.push_back(Event{std::string(text), parseId(text)});
        begin = end;
    }
    if (begin > 0) {
        std::string(this->buffer, begin).swap(this->buffer); // Frees the memory, unlike erase().
        this->searched -= begin;
    }
    this->countMemory();
    return events;
}

void EventSplitter::countMemory()
{
    const std::size_t bytes = this->buffer.size() <= FreeBytes ? 0 : this->buffer.capacity();
    this->memory.shrinkTo(bytes);
    this->refused = !this->memory.growTo(bytes);
    if (this->refused) {
        std::string().swap(this->buffer);
        this->memory.release();
    }
}

std::size_t EventSplitter::findEventEnd()
{
    while (true) {
        const std::size_t lineEnd = std::min(this->buffer.find('\n', this->searched), this->buffer.size());
        const std::string_view rest = std::string_view(this->buffer).substr(lineEnd);
        this->examined += lineEnd - this->searched + std::min(rest.size(), LongestEventEnd);
        this->searched = lineEnd;
        for (const std::string_view eventEnd : EventEnds) {
            if (rest.starts_with(eventEnd)) {
                this->searched += eventEnd.size();
                return this->searched;
            }
            if (eventEnd.starts_with(rest)) {
                return 0; // The rest of an end may follow.
            }
        }
        ++this->searched;
    }
}

bool EventSplitter::hasPartialEvent() const
{
    return this->refused || !this->buffer.empty();
}

bool EventSplitter::isOverlong() const
{
    return this->buffer.size() > MaxEventBytes;
}

bool EventSplitter::isRefused() const
{
    return this->refused;
}

std::uint64_t EventSplitter::examinedBytes() const
{
    return this->examined;
}

}
