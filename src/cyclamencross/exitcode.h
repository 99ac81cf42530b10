#pragma once

namespace Cyclamen
{

/// Exit codes of every subcommand. Scripts rely on them; see docs/OPERATIONS.md.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, ///< The command failed, or its outcome is unknown.
    ExitUsage = 2, ///< Wrong arguments, or an invalid settings or configuration file.
    ExitConflict = 3, ///< The configuration was changed since it was read.
    ExitUnreachable = 4, ///< The entry, or the key-value service that it uses, did not reply.
};

}
