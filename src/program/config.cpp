#include "program/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "protocol/settings.hpp"

namespace hareramp::program {

namespace {
std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}
transport::Address address(const std::string& text, const std::string& what) {
  const auto parsed = transport::Address::parse(text);
  if (!parsed) throw BadConfig(what + " is not an address with a port: '" + text + "'");
  return *parsed;
}
std::vector<std::string> texts(const protocol::Json& list, const char* member = nullptr) {
  std::vector<std::string> all;
  for (const auto& item : list.items()) all.push_back(member ? item[member].text() : item.text());
  return all;
}
}  // namespace

Config read_config(const std::string& text, const std::string& name, const std::string& listen) {
  const auto json = protocol::Json::parse(text);
  if (!json || !json->is_object()) throw BadConfig("the configuration is not a JSON object");
  const protocol::Json& settings = (*json)["settings"];
  if (!settings.is_object()) throw BadConfig("the configuration has no settings");

  Config config;
  config.name = name.empty() ? (*json)["name"].text() : name;
  config.listen = address(listen.empty() ? (*json)["listen"].text() : listen, "the address to listen at");
  config.change_log_host = (*json)["changelog"].text();
  config.change_log = address(config.change_log_host, "changelog");
  const std::string& seed = (*json)["seed"].text();
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw BadConfig("seed is not a number of up to 16 hex digits: '" + seed + "'");
  const protocol::Json& known = (*json)["known"];
  config.known = known["results"].items();
  config.known_to = known["seq"].integer().value_or(0);
  protocol::flatten_settings(config.settings, settings);
  config.names = {
      texts(settings["RequestClasses"], "Name"), texts(settings["Zones"]), texts(settings["Kinds"]), {}};
  for (const std::string& writes : texts(settings["FamilyInfo"]["GoesThrough"]))
    config.names.writes.push_back(writes == "true");
  if (config.names.request_classes.empty()) throw BadConfig("the settings name no RequestClasses");
  config.memory = static_cast<std::size_t>(std::clamp((*json)["limits"]["memory_mb"].number(192), 1.0, 1e6))
                  << 20;
  config.limits = fill_limits((*json)["limits"], settings);
  return config;
}

Config load_config(const std::string& path) {
  const std::string from = path.empty() ? variable("EDGE_CONFIG") : path;
  if (from.empty()) throw BadConfig("EDGE_CONFIG is not set and no configuration was named");
  std::ifstream file(from);
  if (!file) throw BadConfig("can't read the configuration '" + from + "'");
  std::stringstream text;
  text << file.rdbuf();
  return read_config(text.str(), variable("EDGE_NAME"), variable("EDGE_LISTEN"));
}

}  // namespace hareramp::program
