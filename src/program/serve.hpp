// Runs one director, from startup to shutdown.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "program/config.hpp"

namespace hareramp::program {

// Serves requests until SIGTERM or SIGINT, then answers all that were accepted. Returns the exit status.
// SIGUSR1 prints the counters, SIGHUP reads the configuration and the operator's file again, from the same
// paths. operator_path names the operator's file, as for load_operator_file.
int serve(const Config& config, const std::string& config_path, const std::string& operator_path, Log& log);

// All counters as name=value, on one line.
std::string counters_line(const Counters& counters);

}  // namespace hareramp::program
