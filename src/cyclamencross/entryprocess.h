#pragma once

#include "cyclamencross/base/settings.h"

namespace Cyclamen
{

/// Runs the entry process until SIGTERM, SIGINT or a drain request to its admin port stops it.
/// @return the exit code: 0 after a graceful stop, 1 if a port could not be bound.
int runEntry(const Settings &settings);

}
