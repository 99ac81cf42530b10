#include "runcommand.h"

#include "adminfailures.h"
#include "exitcode.h"

#include "cyclamencross/base/failures.h"

#include <iostream>
#include <string>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

int fail(ExitCode code, const std::string &message)
{
    std::cerr << "cyclamencross: " << message << "\n";
    return code;
}

std::string describe(const InvalidSetting &fault)
{
    return fault.file + ":" + std::to_string(fault.line) + ": " + (fault.key.empty() ? "" : fault.key + ": ")
        + "expected " + fault.expected;
}

ExitCode exitCode(const EntryRefusal &refusal)
{
    switch (refusal.status) {
    case 400:
        return ExitUsage;
    case 409:
        return ExitConflict;
    case 503:
        return ExitUnreachable;
    default:
        return ExitFailed;
    }
}

}

int runCommand(const std::function<boost::leaf::result<int>()> &body)
{
    return boost::leaf::try_handle_all(
        body, [](const UsageFault &fault) { return fail(ExitUsage, fault.detail); },
        [](const InvalidSetting &fault) { return fail(ExitUsage, describe(fault)); },
        [](const EntryRefusal &refusal) {
            return fail(exitCode(refusal), refusal.message + " (" + refusal.type + ")");
        },
        [](const ConnectFailed &fault) { return fail(ExitUnreachable, "no connection to " + fault.address); },
        [](const OutcomeUnknown &fault) {
            return fail(ExitFailed,
                        fault.detail + "; it is not known whether change " + fault.changeId
                            + " took effect. Look for it with `config show` or `config history` before applying again");
        },
        [](const ExchangeBroken &fault) {
            return fail(ExitUnreachable, "no answer from " + fault.address + ": " + fault.detail);
        },
        [] { return fail(ExitFailed, "the command failed for an unknown reason"); });
}

}
