#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Incremental parser that splits a `text/event-stream` into the data of its events. Ignores comments and all
/// fields except `data`.
class SseParser
{
public:
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    /// Receives the data of one event.
    /// @return false to stop parsing.
    using Receiver = std::function<bool(std::string_view data)>;

    /// Parses the next chunk of the stream and calls @p receiver for each event that it completes.
    /// @return false if the receiver returned false or an event exceeds MaxEventBytes.
    bool feed(std::string_view chunk, const Receiver &receiver);

private:
    bool processLine(const Receiver &receiver);

    std::string line;
    std::string data;
    bool hasData = false;
};

}
