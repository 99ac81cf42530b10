#pragma once

#include "cyclamencross/base/runoutcome.h"

#include <cstdint>
#include <set>

namespace Cyclamen
{

/// Tracks whether backend servers have or may have run a request, so that a failure reports the correct outcome to the
/// caller. Not thread-safe.
class RequestState
{
public:
    enum class Phase : std::uint8_t { Queued, Dispatched, Answering, Ended };

    /// Starts an attempt. Must be called before the first byte is sent to a backend server.
    /// @return the number of this attempt, from 1.
    int dispatch();
    /// Records that the backend server explicitly reported not to have run the latest attempt.
    void rejectedByBackend();
    /// Records the same for one attempt. The request counts as not run only when every attempt was rejected: a repeated
    /// or late rejection of one attempt says nothing about another attempt that is still unanswered.
    void rejectedByBackend(int attempt);
    /// Records that some work is known to have been done, for example a finished prefill.
    void workDone();
    /// Records that the first part of the answer is sent to the caller.
    void answering();
    /// Records that the whole answer was delivered.
    void complete();

    /// Returns the outcome to report to the caller if the request fails now.
    RunOutcome outcomeOnFailure() const;
    Phase phase() const;
    bool operator==(const RequestState &) const = default;

private:
    Phase current = Phase::Queued;
    bool workObserved = false;
    int lastAttempt = 0;
    std::set<int> openAttempts; // attempts that may have run
};

}
