#include "program/operator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/schema.hpp"
#include "program/config.hpp"

namespace hareramp::program {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileSize = 16 << 20;  // bytes; 65,536 networks take 5 MB
constexpr std::size_t kBytesPerFlow = 256;      // bytes; one flow in the table with its index entries

[[noreturn]] void throw_violation(const std::string& file, const std::string& pointer,
                                  const std::string& found, const std::string& wanted) {
  throw ConfigError(SchemaViolation{pointer, found, wanted}.line(file));
}

template <class Value>
Value value_or(const json& object, const char* key, Value fallback) {
  return object.contains(key) ? object[key].get<Value>() : fallback;
}

flow::CollectorSettings read_collector(const json& entry, const std::string& file,
                                       const std::string& pointer) {
  flow::CollectorSettings collector;
  const auto address = transport::Address::parse(entry["address"].get<std::string>());
  if (!address)
    throw_violation(file, pointer + "/address", describe_value(entry["address"]), "an address with a port");
  collector.address = *address;
  if (value_or<std::string>(entry, "transport", "udp") == "tcp") collector.transport = flow::Transport::kTcp;
  if (value_or<std::string>(entry, "protocol", "ipfix") == "netflow9")
    collector.protocol = flow::Protocol::kNetflow9;
  if (value_or<std::string>(entry, "mode", "duplicate") == "failover") collector.mode = flow::Mode::kFailover;
  if (collector.protocol == flow::Protocol::kNetflow9 && collector.transport == flow::Transport::kTcp)
    throw_violation(file, pointer + "/transport", "\"tcp\" with \"netflow9\"",
                    "\"udp\" (RFC 3954 defines no transport over TCP)");
  return collector;
}

void read_flow_export(const json& object, const std::string& file, std::size_t memory,
                      flow::ExportSettings& settings) {
  const json empty = json::object();
  settings.enabled = value_or(object, "enabled", false);
  settings.observation_domain = value_or<std::uint32_t>(object, "observation_domain", 1);
  settings.enterprise_number = value_or<std::uint32_t>(object, "enterprise_number", 32473);
  settings.active_timeout = value_or(object, "active_timeout_s", 60.0);
  settings.idle_timeout = value_or(object, "idle_timeout_s", 15.0);
  settings.max_flows =
      value_or<std::size_t>(object, "flows_most", std::max<std::size_t>(16, memory / 16 / kBytesPerFlow));
  settings.message_bytes = value_or<std::size_t>(object, "message_bytes", 1400);
  settings.template_resend = value_or(object, "template_resend_s", 60.0);
  settings.template_resend_messages = value_or<std::size_t>(object, "template_resend_messages", 1000);
  settings.resend = value_or(object, "resend_s", 0.0);
  settings.queue_bytes = value_or<std::size_t>(object, "queue_kb", 4096) * 1024;
  const json& collectors = object.contains("collectors") ? object["collectors"] : empty;
  for (std::size_t i = 0; i < collectors.size(); ++i) {
    const std::string pointer = fmt::format("/flow_export/collectors/{}", i);
    const auto collector = read_collector(collectors[i], file, pointer);
    for (const auto& other : settings.collectors)
      if (other.address == collector.address && other.transport == collector.transport)
        throw_violation(file, pointer, describe_value(collectors[i]["address"]) + " listed twice",
                        "each collector once");
    settings.collectors.push_back(collector);
  }
  const auto networks = std::make_shared<Networks>();
  const json& entries = object.contains("networks") ? object["networks"] : empty;
  for (std::size_t i = 0; i < entries.size(); ++i)
    if (const auto problem =
            networks->add(entries[i]["prefix"].get<std::string>(), entries[i]["depot"].get<std::string>()))
      throw_violation(file, fmt::format("/flow_export/networks/{}/prefix", i), *problem,
                      "each network once, in CIDR form");
  settings.networks = networks;
  const json& spool = object.contains("spool") ? object["spool"] : empty;
  settings.spool.enabled = value_or(spool, "enabled", false);
  settings.spool.directory = value_or<std::string>(spool, "directory", "");
  settings.spool.bytes = value_or<std::size_t>(spool, "size_mb", 256) << 20;
  settings.spool.age = value_or(spool, "age_s", 86400.0);
  settings.spool.replay_per_s = value_or(spool, "replay_per_s", 2000.0);
  if (settings.enabled && settings.collectors.empty())
    throw_violation(file, "/flow_export/collectors", "no collector",
                    "at least one if flow_export is enabled");
}

std::vector<distribution::Endpoint> read_endpoints(const json& entries, const std::string& file,
                                                   const std::string& pointer) {
  std::vector<distribution::Endpoint> endpoints;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto text = entries[i].get<std::string>();
    const auto address = transport::Address::parse(text);
    const std::string entry_pointer = fmt::format("{}/{}", pointer, i);
    if (!address) throw_violation(file, entry_pointer, describe_value(entries[i]), "an address with a port");
    const distribution::Endpoint endpoint{*address, text};
    if (std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end())
      throw_violation(file, entry_pointer, describe_value(entries[i]) + " listed twice", "each address once");
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

void read_change_stream(const json& object, const std::string& file, ChangeStreamSettings& settings) {
  settings.enabled = value_or(object, "enabled", false);
  settings.compressed = value_or(object, "compressed", settings.compressed);
  settings.retry_longest = value_or(object, "retry_longest_s", settings.retry_longest);
  if (object.contains("relays"))
    settings.relays = read_endpoints(object["relays"], file, "/change_stream/relays");
  if (settings.enabled && settings.relays.empty())
    throw_violation(file, "/change_stream/relays", "no relay", "at least one if change_stream is enabled");
}

void read_relay(const json& object, const std::string& file, distribution::RelaySettings& settings) {
  settings.enabled = value_or(object, "enabled", false);
  settings.compressed = value_or(object, "compressed", settings.compressed);
  settings.tick_interval = value_or(object, "tick_s", settings.tick_interval);
  settings.window_bytes = value_or<std::size_t>(object, "window_kb", settings.window_bytes / 1024) * 1024;
  settings.purge_lifetime = value_or(object, "purge_lifetime_s", settings.purge_lifetime);
  settings.purges_most = value_or(object, "purges_most", settings.purges_most);
  settings.subscribers_most = value_or(object, "subscribers_most", settings.subscribers_most);
  if (object.contains("sources"))
    settings.sources = read_endpoints(object["sources"], file, "/relay/sources");
  if (object.contains("listen")) {
    const auto listen = transport::Address::parse(object["listen"].get<std::string>());
    if (!listen)
      throw_violation(file, "/relay/listen", describe_value(object["listen"]), "an address with a port");
    settings.listen = *listen;
  }
  if (!settings.enabled) return;
  if (!object.contains("listen"))
    throw_violation(file, "/relay/listen", "nothing", "an address if relay is enabled");
  if (settings.sources.empty())
    throw_violation(file, "/relay/sources", "no source", "at least one if relay is enabled");
}

}  // namespace

OperatorFile parse_operator_file(const std::string& text, const std::string& file, std::size_t memory) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& error) {
    throw ConfigError(fmt::format("{}: invalid JSON: {}", file, error.what()));
  }
  if (const auto violation = first_violation(json::parse(kOperatorSchema), document))
    throw ConfigError(violation->line(file));
  OperatorFile operator_file;
  const json empty = json::object();
  const json& log = document.contains("log") ? document["log"] : empty;
  if (value_or<std::string>(log, "format", "text") == "json") operator_file.log_form = LogFormat::kJson;
  const std::string level = value_or<std::string>(log, "level", "info");
  operator_file.log_level = level == "debug"     ? LogLevel::kDebug
                            : level == "warning" ? LogLevel::kWarning
                            : level == "error"   ? LogLevel::kError
                                                 : LogLevel::kInfo;
  read_flow_export(document.contains("flow_export") ? document["flow_export"] : empty, file, memory,
                   operator_file.flow_export);
  read_change_stream(document.contains("change_stream") ? document["change_stream"] : empty, file,
                     operator_file.change_stream);
  read_relay(document.contains("relay") ? document["relay"] : empty, file, operator_file.relay);
  return operator_file;
}

OperatorFile load_operator_file(const std::string& path, std::size_t memory) {
  const char* variable = std::getenv("HARERAMP_OPERATOR");
  const std::string file_path = !path.empty() ? path : variable ? variable : "";
  if (file_path.empty()) return {};
  std::ifstream file(file_path, std::ios::binary);
  if (!file) throw ConfigError("can't read the operator's file '" + file_path + "'");
  std::string text(kMaxFileSize + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileSize) throw ConfigError(file_path + ": larger than 16 MB");
  return parse_operator_file(text, file_path, memory);
}

}  // namespace hareramp::program
