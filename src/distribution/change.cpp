#include "distribution/change.hpp"

#include <fmt/format.h>

#include "protocol/events.hpp"

namespace hareramp::distribution {

namespace {

NodeList parse_nodes(const protocol::Json& fleet) {
  NodeList nodes;
  nodes.complete = fleet["full"].boolean();
  nodes.version = fleet["version"].text();
  for (const protocol::Json& entry : fleet["servers"].items())
    nodes.entries.push_back(
        {entry["id"].text(), protocol::serialize(entry), entry["state"].text() == "left"});
  return nodes;
}

std::optional<Purge> parse_purge(const protocol::Json& invalidate) {
  Purge purge;
  purge.unix_ms = invalidate["time"].number(0);
  if (const auto group = invalidate["bucket"].integer()) {
    purge.target = {PurgeTarget::Kind::kGroup, static_cast<std::uint64_t>(*group)};
    return purge;
  }
  ObjectId object;
  if (!protocol::parse_object_id(invalidate["object"].text(), object)) return {};
  purge.target = {PurgeTarget::Kind::kObject, object.value};
  return purge;
}

}  // namespace

Change parse_change(const protocol::Json& change) {
  Change parsed;
  for (const auto& [name, value] : change.members()) {
    if (name == "seq") continue;
    if (name == "fleet") parsed.nodes = parse_nodes(value);
    if (name == "invalidate") parsed.purge = parse_purge(value);
    parsed.json_members +=
        fmt::format("{}\"{}\":{}", parsed.json_members.empty() ? "" : ",", name, protocol::serialize(value));
  }
  return parsed;
}

std::string encode_event(long long number, const std::string& json_members) {
  return fmt::format("id: {0}\ndata: {{\"seq\":{0}{1}{2}}}\n\n", number, json_members.empty() ? "" : ",",
                     json_members);
}

std::string complete_list_members(const std::string& version, const std::vector<std::string>& entries) {
  return fmt::format(R"("fleet":{{"version":{},"full":true,"servers":[{}]}})",
                     version.empty() ? "0" : version, fmt::join(entries, ","));
}

}  // namespace hareramp::distribution
