#include "program/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "protocol/settings.hpp"

namespace hareramp::program {

namespace {
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}
transport::Address parse_address(const std::string& text, const std::string& field) {
  const auto parsed = transport::Address::parse(text);
  if (!parsed) throw ConfigError(field + " is not an address with a port: '" + text + "'");
  return *parsed;
}
std::vector<std::string> string_list(const protocol::Json& list, const char* member = nullptr) {
  std::vector<std::string> all;
  for (const auto& item : list.items()) all.push_back(member ? item[member].text() : item.text());
  return all;
}
}  // namespace

Config parse_config(const std::string& text, const std::string& name, const std::string& listen) {
  const auto json = protocol::Json::parse(text);
  if (!json || !json->is_object()) throw ConfigError("the configuration is not a JSON object");
  const protocol::Json& settings = (*json)["settings"];
  if (!settings.is_object()) throw ConfigError("the configuration has no 'settings' object");

  Config config;
  config.name = name.empty() ? (*json)["name"].text() : name;
  config.listen =
      parse_address(listen.empty() ? (*json)["listen"].text() : listen, "the address to listen at");
  config.change_stream_host = (*json)["changelog"].text();
  config.change_stream_source = parse_address(config.change_stream_host, "changelog");
  const std::string& seed = (*json)["seed"].text();
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw ConfigError("seed is not a number of up to 16 hex digits: '" + seed + "'");
  const protocol::Json& known = (*json)["known"];
  config.known = known["results"].items();
  config.last_known_event = known["seq"].integer().value_or(0);
  protocol::flatten_settings(config.settings, settings);
  config.names = {string_list(settings["RequestClasses"], "Name"),
                  string_list(settings["Zones"]),
                  string_list(settings["Kinds"]),
                  {}};
  for (const std::string& writes : string_list(settings["FamilyInfo"]["GoesThrough"]))
    config.names.writes.push_back(writes == "true");
  if (config.names.request_classes.empty()) throw ConfigError("the settings have no RequestClasses");
  config.memory = static_cast<std::size_t>(std::clamp((*json)["limits"]["memory_mb"].number(192), 1.0, 1e6))
                  << 20;
  config.limits = fill_limits((*json)["limits"], settings);
  return config;
}

Config load_config(const std::string& path) {
  const std::string file_path = path.empty() ? environment_variable("EDGE_CONFIG") : path;
  if (file_path.empty()) throw ConfigError("EDGE_CONFIG is not set and --config is not given");
  std::ifstream file(file_path);
  if (!file) throw ConfigError("can't read the configuration file '" + file_path + "'");
  std::stringstream text;
  text << file.rdbuf();
  return parse_config(text.str(), environment_variable("EDGE_NAME"), environment_variable("EDGE_LISTEN"));
}

}  // namespace hareramp::program
