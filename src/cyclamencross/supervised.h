#pragma once

#include <functional>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Runs a process that works under supervision, so that its failures are log lines.
/// @param run returns the exit code, or InvalidSetting.
/// @return the exit code.
int runSupervised(const std::function<boost::leaf::result<int>()> &run);

}
