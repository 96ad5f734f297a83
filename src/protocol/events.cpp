#include "protocol/events.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <span>

namespace hareramp::protocol {

namespace {
constexpr std::array<std::string_view, 8> kEntryFields = {"id",   "addr",  "zone",   "kind",
                                                          "cell", "state", "weight", "started_ms"};
constexpr std::array<std::string_view, 3> kFleetFields = {"version", "full", "servers"};
constexpr std::array<std::string_view, 3> kPurgeFields = {"object", "bucket", "time"};

void report_unknown_fields(const Json& value, std::span<const std::string_view> known,
                           ChangeHandler& handler) {
  for (const auto& member : value.members())
    if (std::find(known.begin(), known.end(), member.first) == known.end())
      handler.unknown_field(member.first);
}

const std::map<std::string, EndpointState> kStates = {{"active", EndpointState::kRunning},
                                                      {"leaving", EndpointState::kDraining},
                                                      {"left", EndpointState::kRemoved}};
}  // namespace

bool SseParser::parse(std::string_view input, SseHandler& handler) {
  for (const char c : input) {
    const bool is_lf_of_crlf = after_cr_ && c == '\n';
    after_cr_ = c == '\r';
    if (is_lf_of_crlf) continue;
    if (c == '\r' || c == '\n') {
      end_line(handler);
      continue;
    }
    line_ += c;
    if (line_.size() + data_.size() > max_event_bytes_) return false;
  }
  return true;
}

void SseParser::end_line(SseHandler& handler) {
  if (line_.empty()) {
    if (has_data_) handler.event(id_, data_);
    data_.clear();
    has_data_ = in_event_ = false;
    return;
  }
  const std::string_view line = line_;
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon != 0) in_event_ = true;  // a line that begins with a colon is a comment
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "data") {
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
  } else if (name == "id") {
    id_ = value;
  }
  line_.clear();
}

bool parse_object_id(std::string_view text, ObjectId& object) {
  if (text.empty() || text.size() > 16) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), object.value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

void read_change(const Json& change, ChangeHandler& handler) {
  for (const auto& [name, value] : change.members()) {
    if (name == "fleet") {
      report_unknown_fields(value, kFleetFields, handler);
      handler.list_starts(value["full"].boolean());
      for (const Json& entry : value["servers"].items()) {
        report_unknown_fields(entry, kEntryFields, handler);
        const auto state = kStates.find(entry["state"].text());
        if (entry["id"].text().empty() || state == kStates.end()) {
          handler.skipped("list entry " + entry["id"].text() + " in state '" + entry["state"].text() + "'");
          continue;
        }
        handler.list_entry({entry["id"].text()}, entry["addr"].text(), entry["zone"].text(),
                           entry["kind"].text(), {static_cast<int>(entry["cell"].number(0))}, state->second,
                           entry["weight"].number(1), entry["started_ms"].number(0));
      }
      handler.list_ends();
    } else if (name == "invalidate") {
      report_unknown_fields(value, kPurgeFields, handler);
      const double at = value["time"].number(0);
      ObjectId object;
      if (const auto bucket = value["bucket"].integer()) {
        handler.group_purged({*bucket}, at);
      } else if (parse_object_id(value["object"].text(), object)) {
        handler.object_purged(object, at);
      } else {
        handler.skipped("a purge that names neither an object nor a group");
      }
    } else if (name != "seq") {
      handler.skipped("an event of unknown kind '" + name + "'");
    }
  }
}

}  // namespace hareramp::protocol
