#pragma once

namespace Cyclamen
{

/// Turns the log off while it exists. In an exploration, the log would take most of the time.
class SilentLog
{
public:
    SilentLog();
    ~SilentLog();
    SilentLog(const SilentLog &) = delete;
    SilentLog &operator=(const SilentLog &) = delete;
};

}
