// Parser for the part of the cache protocol that the node stand-ins need: complete commands as a director
// writes them.
#pragma once

#include <optional>
#include <string>

#include "transport/buffer.hpp"

namespace hareramp::rig {

struct Command {
  std::string verb, id, fields;  // verb: serve or cancel; a cancel has no fields
};
// Removes the next complete command from the buffer and returns it; returns nothing while the command is
// incomplete. Lines other than serve and cancel are skipped.
std::optional<Command> next_command(transport::Buffer& input);
std::string field(const std::string& fields, const std::string& name);  // empty if missing

}  // namespace hareramp::rig
