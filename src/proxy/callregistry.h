#pragma once

#include "cancelsignal.h"

#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpreply.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Cyclamen
{

/// The calls with an idempotency key that this entry runs or has run, with their results. Thread-safe.
class CallRegistry
{
public:
    using ClockHook = std::function<TimePoint()>;

    static constexpr Millis ResultLifetime{600000};
    /// A key is remembered this long after its call ended, at least as long as a ticket lives.
    static constexpr Millis KeyLifetime{900000};
    static constexpr std::size_t MaxBodyBytes = 64U << 10U;
    static constexpr std::size_t MaxTotalBytes = 64U << 20U;
    static constexpr std::size_t MaxKeys = 200000;

    enum class Standing : std::uint8_t {
        New, ///< The key is now running; the asker must run the call and end it by finish(), refused() or forget().
        Again, ///< The same, but an earlier run of the key was refused before the work began.
        Running,
        Finished, ///< The result is there.
        ResultDropped, ///< The call ran, but its result is no longer kept.
        OtherRequest, ///< The key belongs to a different request.
        Full, ///< No more keys can be remembered; nothing may run.
    };

    struct Answer
    {
        Standing standing = Standing::New;
        HttpReply result; ///< For Finished.

        bool operator==(const Answer &) const = default;
    };

    explicit CallRegistry(ClockHook now = Clock::now);

    /// Begins the call @p key unless it is known.
    Answer begin(const std::string &key, const std::string &requestHash);
    /// The same, but waits while the call runs; Running is returned if @p cancel ends the waiting.
    Answer beginOrWait(const std::string &key, const std::string &requestHash, const CancelSignal &cancel);
    /// Returns what is known of @p key without beginning it; New if nothing is, Again if it may be begun once more.
    Answer look(const std::string &key, const std::string &requestHash);

    /// Keeps the attempt under which the durable record of a running call is created, also when it is refused.
    void setAttempt(const std::string &key, const std::string &attempt);
    /// Returns the attempt of a running call; empty if it never had one.
    std::string attempt(const std::string &key);
    /// The call ended with @p result.
    void finish(const std::string &key, const HttpReply &result);
    /// The call did not run; its key is remembered and may be begun again.
    void refused(const std::string &key);
    /// The call was not begun here; its key is forgotten.
    void forget(const std::string &key);

private:
    enum class State : std::uint8_t { Running, Kept, Dropped, Refused };

    struct Call
    {
        State state = State::Running;
        std::string requestHash;
        std::string attempt;
        HttpReply result;
        TimePoint ended;
    };

    void expire();
    void drop(Call &call);
    void end(const std::string &key, Call &call, State state);
    Answer answerFor(const Call &call, const std::string &requestHash) const;
    Answer beginLocked(const std::string &key, const std::string &requestHash);

    ClockHook now;
    std::mutex mutex;
    std::condition_variable ended;
    std::map<std::string, Call> calls;
    std::deque<std::string> kept; ///< Keys with a result, the oldest first.
    std::deque<std::pair<TimePoint, std::string>> remembered; ///< Ended calls, the oldest first.
    std::size_t totalBytes = 0;
};

}
