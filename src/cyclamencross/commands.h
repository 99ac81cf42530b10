#pragma once

/// The subcommands. Each takes the arguments from the last word of its name on, so argv[0] is that word, and returns
/// the exit code.
namespace Cyclamen
{

int routerCommand(int argc, const char *const *argv);
int entryCommand(int argc, const char *const *argv);
int configCheckCommand(int argc, const char *const *argv);
int configShowCommand(int argc, const char *const *argv);
int configApplyCommand(int argc, const char *const *argv);
int configHistoryCommand(int argc, const char *const *argv);
int configExplainCommand(int argc, const char *const *argv);
int statusCommand(int argc, const char *const *argv);
int drainCommand(int argc, const char *const *argv);
int explainCommand(int argc, const char *const *argv);
int crashesCommand(int argc, const char *const *argv);
int versionCommand(int argc, const char *const *argv);

}
