#pragma once

#include "cyclamencross/base/settings.h"

namespace Cyclamen
{

/// Runs the entry process until it is stopped by SIGTERM or SIGINT.
/// @return the exit code: 0 after a graceful stop, 1 if a port could not be bound.
int runEntry(const Settings &settings);

}
