#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Cuts a `text/event-stream` into the data of its events. Other fields and comments are ignored.
class SseParser
{
public:
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    /// Takes the data of one event.
    /// @return false to stop parsing.
    using Receiver = std::function<bool(std::string_view data)>;

    /// Adds the next part of the stream and hands on each event that it completes.
    /// @return false if the receiver stopped, or an event is larger than MaxEventBytes.
    bool add(std::string_view part, const Receiver &receiver);

private:
    bool endLine(const Receiver &receiver);

    std::string line;
    std::string data;
    bool hasData = false;
};

}
