#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Validates that an engine's stream is the complete response to one request: each event carries the request's id, the
/// indexes are contiguous, and the end marker comes last.
class StreamValidator
{
public:
    explicit StreamValidator(std::string requestId);

    /// Validates the data of the next event.
    /// @return the text of the event; nothing if it is the end marker, repeats an accepted index after a resume, or is
    /// invalid.
    std::optional<std::string> accept(std::string_view data);
    /// Returns why the stream is invalid; empty if it is valid so far.
    const std::string &violation() const;
    /// Returns whether the end marker was received and the stream is valid.
    bool complete() const;
    /// Returns the index of the next expected event, from which the stream can be resumed.
    std::uint64_t nextIndex() const;
    /// Starts a resumed stream, which may repeat accepted events but must not skip any.
    void resume();

private:
    std::string requestId;
    std::string violationDetail;
    std::uint64_t nextEventIndex = 0;
    bool endReceived = false;
    bool resumed = false;
};

}
