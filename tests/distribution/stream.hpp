// What the tests of the change stream share: changes as a source numbers them, and a reader of what a relay
// gives that keeps the director's rule (an event whose number is not above the last one is dropped).
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
inline std::string node_members(const std::string& ids, bool whole, const std::string& state = "active") {
  std::string entries;
  for (const char id : ids)
    entries +=
        std::string(entries.empty() ? "" : ",") + "{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}";
  return std::string("\"fleet\":{\"version\":1,\"full\":") + (whole ? "true" : "false") + ",\"servers\":[" +
         entries + "]}";
}

// A director as far as the stream goes.
class StreamReader : public protocol::SseHandler {
 public:
  void read(std::string_view bytes) { parser_.parse(bytes, *this); }
  void event(std::string_view, std::string_view data) override {
    const protocol::Json change = *protocol::Json::parse(data);
    const long long number = *change["seq"].integer();
    if (number <= last) return;
    last = number;
    numbers.push_back(number);
    const distribution::Change read = distribution::read_change(change);
    if (read.purge) ++purges[read.purge->subject.id];
    if (!read.nodes) return;
    if (read.nodes->whole) nodes.clear();
    for (const auto& entry : read.nodes->entries) {
      if (entry.gone)
        nodes.erase(entry.id);
      else
        nodes[entry.id] = entry.text;
    }
  }
  long long last = 0;
  std::vector<long long> numbers;
  std::map<std::uint64_t, int> purges;  // by group, how often
  std::map<std::string, std::string> nodes;

 private:
  protocol::SseParser parser_{1 << 20};
};

}  // namespace hareramp
