#include <cstdio>

#include "program/command_line.hpp"

int main(int argc, char** argv) { return hareramp::program::run_command(argc, argv, stdout, stderr); }
