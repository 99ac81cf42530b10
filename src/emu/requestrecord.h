#pragma once

#include <string>

namespace Cyclamen
{

/// What became of one request of the load generator, with all its attempts.
struct RequestRecord
{
    bool isService = false;
    std::string outcome; ///< Of the last attempt: a Run-Outcome, "done", "cancelled", "late", "wrong" or "no-answer".
    int attempts = 0;
    int refused = 0; ///< Attempts refused as not-run.
    int late = 0; ///< Attempts that the caller gave up.
    double arrival = 0; ///< Seconds since the start of the run.
    double end = 0;
    double first = -1; ///< Seconds from the arrival to the first output; -1 without output.
    double firstOfAttempt = -1; ///< Seconds from the start of the last attempt to its first output.
    double between = -1; ///< Mean seconds between outputs; -1 for fewer than two.
    int outputs = 0;
    bool repeatedExecution = false; ///< A service executed a call with a key more than once.
};

}
