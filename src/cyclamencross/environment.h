#pragma once

#include <string>

namespace Cyclamen
{

/// Returns the value of an environment variable of this process; empty if it is not set.
std::string environmentValue(const char *name);

}
