// A change of the change stream as a relay stores it: its node list update, its purge, and its JSON text.
// Pure data and functions; no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace hareramp::distribution {

// What a purge invalidates: one object, by its identifier, or a group of objects, by its number.
struct PurgeTarget {
  enum class Kind { kObject, kGroup };
  Kind kind = Kind::kObject;
  std::uint64_t id = 0;
  auto operator<=>(const PurgeTarget&) const = default;
};

struct Purge {
  PurgeTarget target;
  double unix_ms = 0;  // when it was issued, by the issuer's clock
};

struct NodeEntry {
  std::string id;
  std::string json;      // the whole entry
  bool removed = false;  // the node has left the fleet permanently
};

struct NodeList {
  bool complete = false;  // replaces the previous list; otherwise it updates single entries
  std::string version;    // as JSON; empty if the change carries none
  std::vector<NodeEntry> entries;
};

struct Change {
  std::optional<NodeList> nodes;
  std::optional<Purge> purge;
  std::string json_members;  // all members of the JSON object except "seq", without the braces
};

Change parse_change(const protocol::Json& change);

// Encodes a change as a server-sent event with the given number.
std::string encode_event(long long number, const std::string& json_members);
// The JSON members of a change that carries the complete node list with these entries.
std::string complete_list_members(const std::string& version, const std::vector<std::string>& entries);

}  // namespace hareramp::distribution
