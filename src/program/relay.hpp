// The sub-command relay: serves the change stream to directors and other relays until SIGTERM.
#pragma once

#include <string>

#include "base/log.hpp"
#include "program/operator.hpp"

namespace hareramp::program {

// Returns the exit status. SIGUSR1 prints the counters, SIGHUP reads the operator's file at operator_path
// again. Throws ConfigError if operator_file doesn't enable the relay or if the process may have too few
// descriptors, std::system_error if it can't listen.
int relay(const OperatorFile& operator_file, const std::string& operator_path, Log& log);

}  // namespace hareramp::program
