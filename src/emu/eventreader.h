#pragma once

#include "cyclamencross/base/timing.h"

#include <string>
#include <string_view>

namespace Cyclamen
{

/// Reads a streamed completion as it arrives, and checks it against the text that the stand-in engines produce.
class EventReader
{
public:
    /// @param tag of the prompt; see promptTag().
    explicit EventReader(std::string tag);

    /// Takes the next bytes of the body.
    void take(std::string_view data);

    int outputs() const;
    bool ended() const; ///< Whether the end marker came.
    bool wrong() const; ///< Whether an output is not the expected one.
    const std::string &failure() const; ///< The outcome that an error event named, or empty.
    TimePoint firstOutput() const;
    TimePoint lastOutput() const;

private:
    void readEvent(std::string_view data);

    std::string tag;
    std::string pending;
    std::string failed;
    int count = 0;
    bool isEnded = false;
    bool isWrong = false;
    TimePoint first;
    TimePoint last;
};

}
