// One director at work, from its start to its end.
#pragma once

#include "counters.hpp"
#include "log.hpp"
#include "program/config.hpp"

namespace hareramp::program {

// Serves until SIGTERM or SIGINT, then answers what it has taken. Returns the exit status. SIGUSR1 prints
// the counters, SIGHUP reads the configuration again, from path as load_config does.
int serve(const Config& config, const std::string& path, Log& log);

// All counters with a name each, one line.
std::string counters_line(const Counters& counters);

}  // namespace hareramp::program
