// The little of the caches' protocol that stand-ins read: whole commands, as a director writes them.
#pragma once

#include <optional>
#include <string>

#include "transport/buffer.hpp"

namespace hareramp::rig {

struct Command {
  std::string word, id, fields;  // serve or cancel; a cancel has no fields
};
// The next whole command, taken out of the buffer; none while it is not all there. Other lines are passed
// over.
std::optional<Command> next_command(transport::Buffer& in);
std::string field(const std::string& fields, const std::string& name);  // empty if it is not there

}  // namespace hareramp::rig
