#pragma once

#include <string_view>

namespace Cyclamen
{

/// The outcome of the work that a caller requested.
enum class RunOutcome {
    Done, ///< The work ran and its complete result was delivered.
    NotRun, ///< The work did not run and will not run.
    Unknown, ///< The work may or may not have run.
    Failed, ///< Work ran, but there is no complete result.
};

/// Returns the value of the `Run-Outcome` header for @p outcome, for example "not-run".
std::string_view toString(RunOutcome outcome);

}
