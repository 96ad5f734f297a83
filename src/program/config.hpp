// A director's configuration at startup: the JSON file that EDGE_CONFIG names, and the variables EDGE_NAME
// and EDGE_LISTEN, which override parts of it.
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

// The configuration or the operator's file can't be used. what() is one line for the operator.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name, change_stream_host;
  transport::Address listen, change_stream_source;
  std::uint64_t seed = 0;
  long long last_known_event = 0;
  std::vector<protocol::Json> known;  // events up to last_known_event, each with its sequence number
  Settings settings;
  routing::ConfiguredNames names;
  Limits limits;
  std::size_t memory = 0;  // bytes that the platform gives this process
};

// Parses the text of a configuration. A name or an address to listen at that is not empty (from the
// environment) overrides the one in the text. Throws ConfigError.
Config parse_config(const std::string& text, const std::string& name, const std::string& listen);

// Loads the configuration at path, or the one that EDGE_CONFIG names if path is empty. EDGE_NAME and
// EDGE_LISTEN override its name and its address to listen at.
Config load_config(const std::string& path = "");

// Computes all limits from the configuration: platform_limits gives the descriptors and the memory, settings
// the deadlines and what is allowed on connections to nodes.
Limits fill_limits(const protocol::Json& platform_limits, const protocol::Json& settings);

}  // namespace hareramp::program
