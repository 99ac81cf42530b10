#pragma once

#include <string>

namespace Cyclamen
{

/// The result of one request of the load generator, over all its attempts.
struct RequestRecord
{
    bool isServiceCall = false;
    /// Of the last attempt: a Run-Outcome, "done", "cancelled", "late", "cut", "wrong", "no-answer" or "status-" +
    /// code.
    std::string outcome;
    int attempts = 0;
    int refusedAttempts = 0; ///< Attempts refused as not-run.
    int lateAttempts = 0; ///< Attempts given up because no data arrived in time.
    double arrival = 0; ///< Seconds since the start of the run.
    double end = 0; ///< End of the last attempt, in seconds since the start of the run.
    double timeToFirstOutput = -1; ///< Seconds from the arrival to the first output; -1 without output.
    double attemptTimeToFirstOutput = -1; ///< Seconds from the start of the last attempt to its first output.
    double timeBetweenOutputs = -1; ///< Mean seconds between outputs; -1 for fewer than two.
    int outputs = 0;
    bool repeatedExecution = false; ///< The service executed a call with a key more than once.
};

}
