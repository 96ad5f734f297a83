// The command line: sub-commands, each with options and help of its own.
#pragma once

#include <cstdio>

namespace hareramp::program {

// Returns the exit status: 0 as asked, 1 if it could not be done, 2 if the command line can't be read.
int run_command(int count, const char* const* words, std::FILE* out, std::FILE* err);

}  // namespace hareramp::program
