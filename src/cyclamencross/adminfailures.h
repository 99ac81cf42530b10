#pragma once

#include <string>

/// Failures of the command line beyond those of base/failures.h.
namespace Cyclamen
{

/// The arguments contradict each other or are incomplete.
struct UsageFault
{
    std::string detail;
};

/// An entry answered with an error status.
struct EntryRefusal
{
    int status = 0;
    std::string type;
    std::string message;
    std::string body; ///< The whole JSON body.
};

/// A change was sent, its answer was lost, and its fate could not be read back.
struct OutcomeUnknown
{
    std::string changeId;
    std::string detail;
};

}
