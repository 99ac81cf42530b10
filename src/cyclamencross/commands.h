#pragma once

/// The subcommands. Each takes the arguments from its own name on, as main() does, and returns the exit code.
namespace Cyclamen
{

int routerCommand(int count, const char *const *arguments);
int entryCommand(int count, const char *const *arguments);
int configCheckCommand(int count, const char *const *arguments);
int configShowCommand(int count, const char *const *arguments);
int configApplyCommand(int count, const char *const *arguments);
int configHistoryCommand(int count, const char *const *arguments);
int configExplainCommand(int count, const char *const *arguments);
int statusCommand(int count, const char *const *arguments);
int drainCommand(int count, const char *const *arguments);
int explainCommand(int count, const char *const *arguments);
int crashesCommand(int count, const char *const *arguments);
int versionCommand(int count, const char *const *arguments);

}
