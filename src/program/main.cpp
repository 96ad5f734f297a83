#include <cstdio>

#include "program/command_line.hpp"

int main(int count, char** words) { return hareramp::program::run_command(count, words, stdout, stderr); }
