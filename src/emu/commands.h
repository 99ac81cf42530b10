#pragma once

namespace Cyclamen
{

/// The subcommands. Each parses its own flags and returns the exit code of the process.
int runEngine(int argc, char **argv);
int runService(int argc, char **argv);
int runPlatform(int argc, char **argv);
int runLoad(int argc, char **argv);

}
