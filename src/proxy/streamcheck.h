#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Checks that an engine's stream is the whole answer to one request: each event names the request, the indexes are
/// contiguous, and the end mark comes last.
class StreamCheck
{
public:
    explicit StreamCheck(std::string requestId);

    /// Checks the data of the next event.
    /// @return the event's text; nothing if it is the end mark, repeats a delivered index, or violates the rules.
    std::optional<std::string> take(std::string_view data);
    /// Returns what was wrong with the stream; empty if nothing is so far.
    const std::string &violation() const;
    /// Returns whether the end mark has come and nothing was wrong.
    bool complete() const;
    /// Returns the index of the next event, from which the stream can be resumed.
    std::uint64_t nextIndex() const;
    /// Begins a resumed stream, which may repeat delivered events but must not leave one out.
    void resume();

private:
    std::string requestId;
    std::string wrong;
    std::uint64_t next = 0;
    bool ended = false;
    bool resumed = false;
};

}
