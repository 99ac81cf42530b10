#pragma once

#include "cyclamencross/base/runoutcome.h"

#include <cstdint>
#include <set>

namespace Cyclamen
{

/// Tracks what may have become of a request's work, so that the outcome reported to its caller is true.
class RequestState
{
public:
    enum class Phase : std::uint8_t { Queued, Dispatched, Answering, Ended };

    /// Bytes of the request may be about to leave for a backend server.
    /// @return the number of this attempt.
    int dispatch();
    /// The backend server said in so many words that it did not run the work of the latest attempt.
    void rejectedByBackend();
    /// The same for one attempt. The request counts as not run only when every attempt was rejected, so a repeated or
    /// late rejection of one attempt says nothing about another whose answer is missing.
    void rejectedByBackend(int attempt);
    /// Work is known to have happened, for example a finished prefill.
    void workDone();
    /// The first part of the answer goes to the caller.
    void answering();
    /// The whole answer was delivered.
    void complete();

    /// Returns the outcome that a failure at this moment must report.
    RunOutcome outcomeOnFailure() const;
    Phase phase() const;
    bool operator==(const RequestState &) const = default;

private:
    Phase current = Phase::Queued;
    bool worked = false;
    int lastAttempt = 0;
    std::set<int> open; // attempts that may have run
};

}
