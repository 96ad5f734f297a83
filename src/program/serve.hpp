// One director at work, from its start to its end.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "program/config.hpp"

namespace hareramp::program {

// Serves until SIGTERM or SIGINT, then answers what it has taken. Returns the exit status. SIGUSR1 prints
// the counters, SIGHUP reads the configuration and the operator's file again, from the same paths.
// operator_path is the operator's own file, as load_operator takes it.
int serve(const Config& config, const std::string& path, const std::string& operator_path, Log& log);

// All counters with a name each, one line.
std::string counters_line(const Counters& counters);

}  // namespace hareramp::program
