#pragma once

#include <functional>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Runs a long-lived process under a supervisor: errors and exceptions of @p run are written as log lines.
/// @param run returns the exit code, or an error such as InvalidSetting.
/// @return the exit code.
int runServerProcess(const std::function<boost::leaf::result<int>()> &run);

}
