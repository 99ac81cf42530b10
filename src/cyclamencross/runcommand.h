#pragma once

#include <functional>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Runs the body of a subcommand and prints its failure, if any, to standard error.
/// @return the exit code, see ExitCode.
int runCommand(const std::function<boost::leaf::result<int>()> &body);

}
