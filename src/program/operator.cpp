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

constexpr std::size_t kLargestFile = 16 << 20;  // bytes; 65,536 networks take 5 MB
constexpr std::size_t kFlowBytes = 256;         // of one flow in the table, with what leads to it

[[noreturn]] void refuse(const std::string& file, const std::string& pointer, const std::string& there,
                         const std::string& asked) {
  throw BadConfig(SchemaViolation{pointer, there, asked}.line(file));
}

template <class Value>
Value or_else(const json& object, const char* key, Value fallback) {
  return object.contains(key) ? object[key].get<Value>() : fallback;
}

flow::CollectorSettings read_collector(const json& one, const std::string& file, const std::string& pointer) {
  flow::CollectorSettings collector;
  const auto address = transport::Address::parse(one["address"].get<std::string>());
  if (!address) refuse(file, pointer + "/address", describe_value(one["address"]), "an address with a port");
  collector.address = *address;
  if (or_else<std::string>(one, "transport", "udp") == "tcp") collector.transport = flow::Transport::kTcp;
  if (or_else<std::string>(one, "protocol", "ipfix") == "netflow9")
    collector.protocol = flow::Protocol::kNetflow9;
  if (or_else<std::string>(one, "mode", "duplicate") == "failover") collector.mode = flow::Mode::kFailover;
  if (collector.protocol == flow::Protocol::kNetflow9 && collector.transport == flow::Transport::kTcp)
    refuse(file, pointer + "/transport", "\"tcp\" with \"netflow9\"", "\"udp\" (RFC 3954 knows no TCP)");
  return collector;
}

void read_flow_export(const json& object, const std::string& file, std::size_t memory,
                      flow::ExportSettings& out) {
  const json empty = json::object();
  out.enabled = or_else(object, "enabled", false);
  out.observation_domain = or_else<std::uint32_t>(object, "observation_domain", 1);
  out.enterprise_number = or_else<std::uint32_t>(object, "enterprise_number", 32473);
  out.active_timeout = or_else(object, "active_timeout_s", 60.0);
  out.idle_timeout = or_else(object, "idle_timeout_s", 15.0);
  out.flows_most =
      or_else<std::size_t>(object, "flows_most", std::max<std::size_t>(16, memory / 16 / kFlowBytes));
  out.message_bytes = or_else<std::size_t>(object, "message_bytes", 1400);
  out.template_resend = or_else(object, "template_resend_s", 60.0);
  out.template_resend_messages = or_else<std::size_t>(object, "template_resend_messages", 1000);
  out.resend = or_else(object, "resend_s", 0.0);
  out.queue_bytes = or_else<std::size_t>(object, "queue_kb", 4096) * 1024;
  const json& collectors = object.contains("collectors") ? object["collectors"] : empty;
  for (std::size_t i = 0; i < collectors.size(); ++i) {
    const std::string pointer = fmt::format("/flow_export/collectors/{}", i);
    const auto collector = read_collector(collectors[i], file, pointer);
    for (const auto& other : out.collectors)
      if (other.address == collector.address && other.transport == collector.transport)
        refuse(file, pointer, describe_value(collectors[i]["address"]) + " for the second time",
               "each collector once");
    out.collectors.push_back(collector);
  }
  const auto networks = std::make_shared<Networks>();
  const json& listed = object.contains("networks") ? object["networks"] : empty;
  for (std::size_t i = 0; i < listed.size(); ++i)
    if (const auto wrong =
            networks->add(listed[i]["prefix"].get<std::string>(), listed[i]["depot"].get<std::string>()))
      refuse(file, fmt::format("/flow_export/networks/{}/prefix", i), *wrong,
             "each network once, in CIDR form");
  out.networks = networks;
  const json& spool = object.contains("spool") ? object["spool"] : empty;
  out.spool.enabled = or_else(spool, "enabled", false);
  out.spool.directory = or_else<std::string>(spool, "directory", "");
  out.spool.bytes = or_else<std::size_t>(spool, "size_mb", 256) << 20;
  out.spool.age = or_else(spool, "age_s", 86400.0);
  out.spool.replay_per_s = or_else(spool, "replay_per_s", 2000.0);
  if (out.enabled && out.collectors.empty())
    refuse(file, "/flow_export/collectors", "no collector", "at least one where flow_export is enabled");
}

std::vector<distribution::Endpoint> read_endpoints(const json& listed, const std::string& file,
                                                   const std::string& pointer) {
  std::vector<distribution::Endpoint> endpoints;
  for (std::size_t i = 0; i < listed.size(); ++i) {
    const auto text = listed[i].get<std::string>();
    const auto address = transport::Address::parse(text);
    const std::string place = fmt::format("{}/{}", pointer, i);
    if (!address) refuse(file, place, describe_value(listed[i]), "an address with a port");
    const distribution::Endpoint endpoint{*address, text};
    if (std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end())
      refuse(file, place, describe_value(listed[i]) + " for the second time", "each address once");
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

void read_change_stream(const json& object, const std::string& file, ChangeStreamSettings& out) {
  out.enabled = or_else(object, "enabled", false);
  out.compressed = or_else(object, "compressed", out.compressed);
  out.retry_longest = or_else(object, "retry_longest_s", out.retry_longest);
  if (object.contains("relays")) out.relays = read_endpoints(object["relays"], file, "/change_stream/relays");
  if (out.enabled && out.relays.empty())
    refuse(file, "/change_stream/relays", "no relay", "at least one where change_stream is enabled");
}

void read_relay(const json& object, const std::string& file, distribution::RelaySettings& out) {
  out.enabled = or_else(object, "enabled", false);
  out.compressed = or_else(object, "compressed", out.compressed);
  out.tick_interval = or_else(object, "tick_s", out.tick_interval);
  out.window_bytes = or_else<std::size_t>(object, "window_kb", out.window_bytes / 1024) * 1024;
  out.purge_lifetime = or_else(object, "purge_lifetime_s", out.purge_lifetime);
  out.purges_most = or_else(object, "purges_most", out.purges_most);
  out.subscribers_most = or_else(object, "subscribers_most", out.subscribers_most);
  if (object.contains("sources")) out.sources = read_endpoints(object["sources"], file, "/relay/sources");
  if (object.contains("listen")) {
    const auto listen = transport::Address::parse(object["listen"].get<std::string>());
    if (!listen) refuse(file, "/relay/listen", describe_value(object["listen"]), "an address with a port");
    out.listen = *listen;
  }
  if (!out.enabled) return;
  if (!object.contains("listen"))
    refuse(file, "/relay/listen", "nothing", "an address where relay is enabled");
  if (out.sources.empty()) refuse(file, "/relay/sources", "no source", "at least one where relay is enabled");
}

}  // namespace

OperatorFile read_operator(const std::string& text, const std::string& file, std::size_t memory) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& error) {
    throw BadConfig(fmt::format("{}: not JSON: {}", file, error.what()));
  }
  if (const auto slip = first_violation(json::parse(kOperatorSchema), document))
    throw BadConfig(slip->line(file));
  OperatorFile out;
  const json empty = json::object();
  const json& log = document.contains("log") ? document["log"] : empty;
  if (or_else<std::string>(log, "format", "text") == "json") out.log_form = LogFormat::kJson;
  const std::string level = or_else<std::string>(log, "level", "info");
  out.log_level = level == "debug"     ? LogLevel::kDebug
                  : level == "warning" ? LogLevel::kWarning
                  : level == "error"   ? LogLevel::kError
                                       : LogLevel::kInfo;
  read_flow_export(document.contains("flow_export") ? document["flow_export"] : empty, file, memory,
                   out.flow_export);
  read_change_stream(document.contains("change_stream") ? document["change_stream"] : empty, file,
                     out.change_stream);
  read_relay(document.contains("relay") ? document["relay"] : empty, file, out.relay);
  return out;
}

OperatorFile load_operator(const std::string& path, std::size_t memory) {
  const char* variable = std::getenv("HARERAMP_OPERATOR");
  const std::string from = !path.empty() ? path : variable ? variable : "";
  if (from.empty()) return {};
  std::ifstream file(from, std::ios::binary);
  if (!file) throw BadConfig("can't read the operator's file '" + from + "'");
  std::string text(kLargestFile + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kLargestFile) throw BadConfig(from + ": over 16 MB");
  return read_operator(text, from, memory);
}

}  // namespace hareramp::program
