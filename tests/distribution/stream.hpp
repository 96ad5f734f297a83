// Shared by the tests of the change stream: changes as a source numbers them, and a reader of a relay's
// output that follows the director's rule (an event whose number is not above the last one is dropped).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "distribution/change.hpp"
#include "distribution/change_receiver.hpp"
#include "protocol/events.hpp"

namespace hareramp {

inline distribution::NumberedChange numbered_change(long long number, const std::string& members) {
  return {number, *protocol::Json::parse("{\"seq\":" + std::to_string(number) + "," + members + "}")};
}
inline std::string purge_members(std::uint64_t group, double unix_ms) {
  return "\"invalidate\":{\"bucket\":" + std::to_string(group) +
         ",\"time\":" + std::to_string(static_cast<long long>(unix_ms)) + "}";
}
inline std::string node_members(const std::string& ids, bool complete, const std::string& state = "active") {
  std::string entries;
  for (const char id : ids)
    entries +=
        std::string(entries.empty() ? "" : ",") + "{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}";
  return std::string("\"fleet\":{\"version\":1,\"full\":") + (complete ? "true" : "false") +
         ",\"servers\":[" + entries + "]}";
}

// Applies the events of a stream as a director does.
class StreamReader : public protocol::EventHandler {
 public:
  void read(std::string_view bytes) { parser_.feed(bytes, *this); }
  void event(std::string_view, std::string_view data) override {
    const protocol::Json change = *protocol::Json::parse(data);
    const long long number = *change["seq"].integer();
    if (number <= last) return;
    last = number;
    numbers.push_back(number);
    const distribution::Change parsed = distribution::parse_change(change);
    if (parsed.purge) ++purges[parsed.purge->target.id];
    if (!parsed.nodes) return;
    if (parsed.nodes->complete) nodes.clear();
    for (const auto& entry : parsed.nodes->entries) {
      if (entry.removed)
        nodes.erase(entry.id);
      else
        nodes[entry.id] = entry.json;
    }
  }
  long long last = 0;
  std::vector<long long> numbers;
  std::map<std::uint64_t, int> purges;  // times received, by group
  std::map<std::string, std::string> nodes;

 private:
  protocol::EventParser parser_{1 << 20};
};

}  // namespace hareramp
