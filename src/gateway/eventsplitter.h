#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Cuts the bytes of an event stream into whole events.
class EventCutter
{
public:
    /// Longest event accepted.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    struct Event
    {
        std::string text; ///< With the empty line that ends it.
        std::optional<std::int64_t> id;

        bool operator==(const Event &) const = default;
    };

    /// Adds bytes.
    /// @return the events that are whole now.
    std::vector<Event> feed(std::string_view bytes);
    /// Returns whether bytes of an unfinished event remain.
    bool hasRest() const;
    /// Returns whether an event is too long to be accepted.
    bool isOverlong() const;

private:
    std::string rest;
};

}
