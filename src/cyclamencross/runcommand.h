#pragma once

#include <functional>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Runs the body of a subcommand. Prints an error message to standard error if it fails.
/// @return the exit code, see ExitCode.
int runCommand(const std::function<boost::leaf::result<int>()> &body);

}
