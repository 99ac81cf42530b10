#pragma once

#include "cyclamencross/route/memorylease.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Splits the bytes of a server-sent event stream into complete events.
class EventSplitter
{
public:
    /// Maximum length of an incomplete event.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    struct Event
    {
        std::string text; ///< Includes the empty line that ends the event.
        std::optional<std::int64_t> id; ///< Numeric value of the last `id` field, if there is one.

        bool operator==(const Event &) const = default;
    };

    EventSplitter() = default;
    /// @param memory grows and shrinks with the incomplete event.
    explicit EventSplitter(MemoryLease memory);

    /// Appends received bytes. Does nothing after isRefused().
    /// @return the events that are complete now.
    std::vector<Event> feed(std::string_view bytes);
    /// Returns whether bytes of an incomplete event remain or were dropped.
    bool hasPartialEvent() const;
    /// Returns whether the incomplete event exceeds MaxEventBytes.
    bool isOverlong() const;
    /// Returns whether there was no memory for the incomplete event, which was dropped.
    bool isRefused() const;
    /// Returns how many bytes the search for ends of events has examined so far; the measure of its cost.
    std::uint64_t examinedBytes() const;

private:
    /// Continues the search for the end of an event where it stopped, so that its cost does not depend on how the bytes
    /// arrive.
    /// @return the position behind the end in `buffer`; 0 if there is none.
    std::size_t findEventEnd();
    /// Adapts `memory` to the incomplete event, which is dropped if there is no memory for it.
    void countMemory();

    std::string buffer;
    MemoryLease memory; ///< Memory that `buffer` takes.
    bool refused = false;
    std::size_t searched = 0; ///< Position in `buffer` before which no end of an event begins.
    std::uint64_t examined = 0;
};

}
