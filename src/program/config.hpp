// What a director is told at its start: three variables and the file that one of them names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "policy.hpp"
#include "protocol/json.hpp"
#include "routing/director_actor.hpp"
#include "transport/socket.hpp"

namespace hareramp::program {

// One plain message about what can't be used.
struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name, change_log_host;
  transport::Address listen, change_log;
  std::uint64_t seed = 0;
  long long known_to = 0;
  std::vector<protocol::Json> known;
  Settings settings;
  routing::ConfiguredNames names;
  Limits limits;
  std::size_t memory = 0;  // bytes that the platform gives
};

// The text of a configuration; what the environment says of name and address goes before the file.
Config read_config(const std::string& text, const std::string& name, const std::string& listen);

// By the variables EDGE_CONFIG, EDGE_NAME and EDGE_LISTEN; a path given takes the first one's place.
Config load_config(const std::string& path = "");

// All limits, from what the configuration says of descriptors, memory and the nodes' connections.
Limits fill_limits(const protocol::Json& limits, const protocol::Json& settings);

}  // namespace hareramp::program
