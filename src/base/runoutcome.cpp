#include "cyclamencross/base/runoutcome.h"

namespace Cyclamen
{

std::string_view toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Unknown:
        return "unknown";
    case RunOutcome::Failed:
        break;
    }
    return "failed";
}

}
