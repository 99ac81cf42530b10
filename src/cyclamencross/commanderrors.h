#pragma once

#include <string>

/// Error types of the subcommands, in addition to those of cyclamencross/base/errors.h.
namespace Cyclamen
{

/// The arguments are incomplete or contradict each other.
struct UsageError
{
    std::string detail;
};

/// An entry replied with an error status.
struct EntryErrorResponse
{
    int status = 0;
    std::string type; ///< The error type in the body, or "http-status" if the body has none.
    std::string message;
    std::string body; ///< The complete response body.
};

/// A change was submitted, but its reply was lost, and whether it took effect could not be determined.
struct OutcomeUnknown
{
    std::string changeId;
    std::string detail;
};

}
