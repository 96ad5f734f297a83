// The sub-command relay: passes the change stream on to directors and further relays until SIGTERM.
#pragma once

#include <string>

#include "base/log.hpp"
#include "program/operator.hpp"

namespace hareramp::program {

// Exit status. Throws BadConfig where the file has no relay switched on, std::system_error where it can't
// listen.
int relay(const OperatorFile& operator_file, const std::string& operator_path, Log& log);

}  // namespace hareramp::program
