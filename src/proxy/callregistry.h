#pragma once

#include "cancelsignal.h"

#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpresponse.h"

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

/// Calls with an idempotency key that this entry is running or has run, and their results. Thread-safe.
class CallRegistry
{
public:
    using ClockHook = std::function<TimePoint()>;

    /// Results are kept this long after their call ended.
    static constexpr Millis ResultLifetime{600000};
    /// Keys are kept this long after their call ended. At least Ticket::Lifetime, so that a valid ticket cannot run
    /// twice.
    static constexpr Millis KeyLifetime{900000};
    static constexpr std::size_t MaxResultBytes = 64U << 10U;
    static constexpr std::size_t MaxTotalResultBytes = 64U << 20U;
    static constexpr std::size_t MaxKeys = 200000;

    /// State of a key, as found by a lookup.
    enum class KeyStatus : std::uint8_t {
        /// Unknown before. The code that called begin() must run the call and then end it by finish(), markRefused()
        /// or remove().
        New,
        AfterRefusal, ///< Like New, but an earlier run was refused before any work was done.
        Running,
        Finished, ///< Ended; the result is available.
        ResultDropped, ///< Ended; the result is no longer stored.
        RequestMismatch, ///< The key belongs to a different request.
        Full, ///< MaxKeys is reached; the call must not run.
    };

    struct Lookup
    {
        KeyStatus keyStatus = KeyStatus::New;
        HttpResponse result; ///< Only for Finished.

        bool operator==(const Lookup &) const = default;
    };

    explicit CallRegistry(ClockHook now = Clock::now);

    /// Looks up @p key and begins the call if its status is New or AfterRefusal.
    /// @param requestHash hash of the request, to detect a key that is reused for another request.
    Lookup begin(const std::string &key, const std::string &requestHash);
    /// Like begin(), but waits while the call is running. Returns Running only if @p cancel is raised meanwhile.
    Lookup beginOrWait(const std::string &key, const std::string &requestHash, const CancelSignal &cancel);
    /// Looks up @p key without beginning the call: New if the key is unknown, AfterRefusal if it may be begun again.
    Lookup peek(const std::string &key, const std::string &requestHash);

    /// Stores the attempt id under which the durable record of a running call is created. It survives markRefused().
    void setAttempt(const std::string &key, const std::string &attempt);
    /// Returns the attempt id of a running call; empty if none was set.
    std::string attempt(const std::string &key);
    /// Ends the call with @p result. A body larger than MaxResultBytes is not stored; the oldest results are dropped
    /// beyond MaxTotalResultBytes.
    void finish(const std::string &key, const HttpResponse &result);
    /// Ends a call that did not run. Its key is kept and may be begun again.
    void markRefused(const std::string &key);
    /// Removes the key of a call that was not run here or may run again as new.
    void remove(const std::string &key);

private:
    enum class State : std::uint8_t { Running, Kept, Dropped, Refused };

    struct Call
    {
        State state = State::Running;
        std::string requestHash;
        std::string attempt;
        HttpResponse result;
        TimePoint endTime;
    };

    void removeExpired();
    void dropResult(Call &call);
    void endCall(const std::string &key, Call &call, State state);
    Lookup lookupFor(const Call &call, const std::string &requestHash) const;
    Lookup beginLocked(const std::string &key, const std::string &requestHash);

    ClockHook now;
    std::mutex mutex;
    std::condition_variable callEnded;
    std::map<std::string, Call> calls;
    std::deque<std::string> keysWithResult; ///< Oldest first.
    std::deque<std::pair<TimePoint, std::string>> endedCalls; ///< End times and keys, oldest first.
    std::size_t totalBytes = 0;
};

}
