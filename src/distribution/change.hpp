// A change of the stream as a relay keeps it: what it says of nodes and of purges, and its text. Pure.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace hareramp::distribution {

// What a purge names: an object by its digits, or a group by its number.
struct PurgeSubject {
  enum class Kind { kObject, kGroup };
  Kind kind = Kind::kObject;
  std::uint64_t id = 0;
  auto operator<=>(const PurgeSubject&) const = default;
};

struct Purge {
  PurgeSubject subject;
  double unix_ms = 0;  // when it was issued, by the issuer's clock
};

struct NodeEntry {
  std::string id;
  std::string text;   // the entry as JSON
  bool gone = false;  // left for good
};

struct NodeList {
  bool whole = false;
  std::string version;  // as JSON; empty where there is none
  std::vector<NodeEntry> entries;
};

struct Change {
  std::optional<NodeList> nodes;
  std::optional<Purge> purge;
  std::string members;  // all but the number, as in a JSON object, without its braces
};

Change read_change(const protocol::Json& change);

// A server-sent event with that number.
std::string encode_event(long long number, const std::string& members);
// The members of a whole list of these entries.
std::string whole_list_members(const std::string& version, const std::vector<std::string>& entries);

}  // namespace hareramp::distribution
