#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Counts SIGTERM and SIGINT of the whole process instead of letting them terminate it.
class StopSignal
{
public:
    /// Installs the handlers and ignores SIGPIPE.
    StopSignal();

    /// Returns how many stop signals have arrived.
    int count() const;
    /// Waits until more than @p seen signals have arrived or @p timeout has passed.
    /// @return the number of signals that have arrived.
    int wait(int seen, Millis timeout) const;
};

}
