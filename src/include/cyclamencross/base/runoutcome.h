#pragma once

#include <string_view>

namespace Cyclamen
{

/// What became of the work that a caller asked for.
enum class RunOutcome {
    Done, ///< The work ran and its whole answer was delivered.
    NotRun, ///< The work did not happen and will not happen.
    Unknown, ///< The work may or may not have happened.
    Failed, ///< Work happened, but there is no complete answer.
};

/// Returns the value of the `Run-Outcome` header for @p outcome, for example "not-run".
std::string_view toString(RunOutcome outcome);

}
