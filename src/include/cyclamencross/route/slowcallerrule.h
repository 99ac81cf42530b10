#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>

namespace Cyclamen
{

/// Decides how much of a stream is held for a caller that reads more slowly than its engine generates, and when such a
/// caller is cut. The slow caller loses, not the engine, whose memory is held until it has sent the stream, and not
/// other callers, whose memory it would take.
class SlowCallerRule
{
public:
    /// Unsent bytes up to which a stream is read on, so that the engine is not delayed: several hundred events.
    static constexpr std::size_t MaxUnsentBytes = 64U << 10U;
    /// How long the engine is not read. What it generates in that time fits into the kernel's buffers; it cuts off a
    /// response that stays unread for several seconds.
    static constexpr Millis MaxPause{1000};
    /// Time in which nothing that was sent to a caller was acknowledged after which it may be cut for a new caller at
    /// the limit of connections. Longer than a lost packet takes to be repeated.
    static constexpr Millis MinStalledTime{500};

    enum class Action {
        ReadOn, ///< The engine is read on.
        Pause, ///< The engine is not read until bytes are sent.
        Cut, ///< The caller's connection and the engine's call are ended.
    };

    /// Returns what to do after events have been queued.
    /// @param unsent bytes that the caller has not taken.
    /// @param admitted whether the memory for bodies of all callers admits them.
    /// @param paused how long the engine has not been read for this reason.
    static Action nextAction(std::size_t unsent, bool admitted, Millis paused);
    /// Returns up to how many unsent bytes a pause lasts.
    static std::size_t pauseLimit(bool admitted);
    /// Returns whether a caller may be cut for a new one at the limit of connections.
    /// @param stalled how long nothing of what was sent to it was acknowledged.
    static bool mayReplace(Millis stalled);
};

}
