#include "silentlog_test.h"

// In a file of its own, since its macros have the same names as those of Catch.
#include <easylogging++.h>

namespace Cyclamen
{

SilentLog::SilentLog()
{
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
}

SilentLog::~SilentLog()
{
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "true");
}

}
