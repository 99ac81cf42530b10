#include "runcommand.h"

#include "commanderrors.h"
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

std::string describe(const InvalidSetting &error)
{
    return error.file + ":" + std::to_string(error.line) + ": " + (error.key.empty() ? "" : error.key + ": ")
        + "expected " + error.expected;
}

ExitCode exitCode(const EntryErrorReply &reply)
{
    switch (reply.status) {
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
        body, [](const UsageError &error) { return fail(ExitUsage, error.detail); },
        [](const InvalidSetting &error) { return fail(ExitUsage, describe(error)); },
        [](const EntryErrorReply &reply) { return fail(exitCode(reply), reply.message + " (" + reply.type + ")"); },
        [](const ConnectFailed &error) { return fail(ExitUnreachable, "no connection to " + error.address); },
        [](const OutcomeUnknown &error) {
            return fail(ExitFailed,
                        error.detail + "; it is not known whether change " + error.changeId
                            + " took effect. Look for it with `config show` or `config history` before applying again");
        },
        [](const ExchangeBroken &error) {
            return fail(ExitUnreachable, "no answer from " + error.address + ": " + error.detail);
        },
        [] { return fail(ExitFailed, "the command failed for an unknown reason"); });
}

}
