#pragma once

#include "cyclamencross/base/timing.h"

#include <string>
#include <string_view>

namespace Cyclamen
{

/// Parses a streamed completion as it arrives and checks it against the text that the emulated engines produce.
class EventReader
{
public:
    /// @param tag the tag of the prompt; see promptTag().
    explicit EventReader(std::string tag);

    /// Parses the next bytes of the body.
    void feed(std::string_view data);

    int outputs() const; ///< Number of outputs received.
    bool ended() const; ///< Whether the `[DONE]` event was received.
    bool wrong() const; ///< Whether an output differed from the expected one.
    const std::string &failure() const; ///< The outcome given by an error event; empty if there was none.
    TimePoint firstOutput() const;
    TimePoint lastOutput() const;

private:
    void readEvent(std::string_view data);

    std::string tag;
    std::string pending;
    std::string failureOutcome;
    int outputCount = 0;
    bool isEnded = false;
    bool isWrong = false;
    TimePoint firstOutputTime;
    TimePoint lastOutputTime;
};

}
