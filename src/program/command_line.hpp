// The command line: sub-commands, each with its own options and help.
#pragma once

#include <cstdio>

namespace hareramp::program {

// Runs the sub-command that the arguments name (arguments[0] is the program). Returns the exit status: 0 on
// success, 1 if the command failed, 2 if the command line is invalid.
int run_command(int argument_count, const char* const* arguments, std::FILE* out, std::FILE* err);

}  // namespace hareramp::program
