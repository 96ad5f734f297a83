#include "flows_tool/decoder.hpp"

#include <algorithm>

namespace hareramp::flows_tool {

namespace {

constexpr std::size_t kHead = 16, kHead9 = 20;
constexpr std::uint32_t kReverse = 29305;   // RFC 5103, 6.1
constexpr std::uint16_t kVariable = 65535;  // RFC 7011, 7
constexpr std::uint32_t kFarAhead = 1u << 31;
constexpr std::uint32_t kNearStart = 1000;  // records: a number this low after a high one is a new count

std::uint64_t number_at(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}
std::uint16_t two(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(number_at(bytes, at, 2));
}
std::uint32_t four(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint32_t>(number_at(bytes, at, 4));
}

}  // namespace

std::optional<std::uint64_t> Value::number() const {
  if (bytes.empty() || bytes.size() > 8) return {};
  return number_at(bytes, 0, bytes.size());
}

bool Decoder::Template::operator==(const Template& other) const {
  return scope == other.scope &&
         std::equal(fields.begin(), fields.end(), other.fields.begin(), other.fields.end(),
                    [](const Field& a, const Field& b) { return a.key == b.key && a.length == b.length; });
}

std::optional<std::size_t> Decoder::length(std::string_view bytes) {
  if (bytes.size() < 4) return {};
  if (two(bytes, 0) != 10 || two(bytes, 2) < kHead) return 0;
  return two(bytes, 2);
}

// Guards against more exporters than there is memory for, real or made up: the one quiet longest goes, and
// its data wait for its templates again. It hurts where more exporters than the bound are there in earnest.
Decoder::Session& Decoder::session(const std::string& name, std::uint32_t domain) {
  const Key key{name, domain};
  const auto found = sessions_.find(key);
  if (found != sessions_.end()) {
    by_use_.splice(by_use_.end(), by_use_, found->second.used);
    return found->second;
  }
  if (sessions_.size() >= bounds_.sessions) {
    ++counts_.sessions_forgotten;
    forget(Key(by_use_.front()));
  }
  Session& made = sessions_[key];
  made.used = by_use_.insert(by_use_.end(), key);
  return made;
}

void Decoder::forget(const Key& key) {
  const auto found = sessions_.find(key);
  if (found == sessions_.end()) return;
  for (const auto& [id, held] : found->second.templates) fields_held_ -= held.fields.size();
  by_use_.erase(found->second.used);
  sessions_.erase(found);
}

void Decoder::session_ended(const std::string& name) {
  for (auto at = sessions_.lower_bound({name, 0}); at != sessions_.end() && at->first.first == name;) {
    const Key key = at->first;
    ++at;
    forget(key);
  }
}

bool Decoder::message(const std::string& name, std::string_view bytes) {
  if (bytes.size() < kHead) {
    ++counts_.bad_length;
    return false;
  }
  const int version = two(bytes, 0);
  if (version == 10) return ipfix(name, bytes);
  if (version == 9) return netflow9(name, bytes);
  ++counts_.bad_version;
  return false;
}

// RFC 7011, 3.1: numbers count data records; a gap is loss, a step back is a new order or a new run.
void Decoder::look_at_sequence(Session& session, const MessageHead& head) {
  const bool uptime_fell = head.version == 9 && head.uptime_ms + 1000 < session.uptime_ms;
  if (session.next && head.sequence != *session.next) {
    const std::uint32_t ahead = head.sequence - *session.next;
    if (uptime_fell ||
        (ahead >= kFarAhead && head.sequence < kNearStart && head.export_time >= session.export_time)) {
      ++counts_.restarts;
    } else if (ahead < kFarAhead) {
      counts_.lost += ahead;
    } else {
      ++counts_.out_of_order;
    }
  }
  session.export_time = std::max(session.export_time, head.export_time);
  session.uptime_ms = head.uptime_ms;
}

bool Decoder::ipfix(const std::string& name, std::string_view bytes) {
  MessageHead head{10, four(bytes, 12), four(bytes, 8), four(bytes, 4), 0, bytes.size()};
  if (two(bytes, 2) != bytes.size()) {
    ++counts_.bad_length;
    return false;
  }
  ++counts_.messages;
  Session& held = session(name, head.domain);
  look_at_sequence(held, head);
  const bool wanted = reader_.message(head);
  std::uint32_t records = 0;
  bool all_read = true;
  const bool readable = sets(held, head, bytes.substr(kHead), wanted, records, all_read);
  // A set without its template holds nobody knows how many records: the next number can't be foretold.
  if (all_read && readable)
    held.next = head.sequence + records;
  else
    held.next.reset();
  reader_.message_ends(head);
  return readable;
}

bool Decoder::netflow9(const std::string& name, std::string_view bytes) {
  if (bytes.size() < kHead9) {
    ++counts_.bad_length;
    return false;
  }
  MessageHead head{9, four(bytes, 16), four(bytes, 12), four(bytes, 8), four(bytes, 4), bytes.size()};
  ++counts_.messages;
  Session& held = session(name, head.domain);
  look_at_sequence(held, head);
  const bool wanted = reader_.message(head);
  std::uint32_t records = 0;
  bool all_read = true;
  const bool readable = sets(held, head, bytes.substr(kHead9), wanted, records, all_read);
  held.next = head.sequence + 1;
  reader_.message_ends(head);
  return readable;
}

bool Decoder::sets(Session& held, const MessageHead& head, std::string_view rest, bool wanted,
                   std::uint32_t& records, bool& all_read) {
  while (!rest.empty()) {
    if (rest.size() < 4 || two(rest, 2) < 4 || two(rest, 2) > rest.size()) {
      ++counts_.bad_set;
      return false;
    }
    const std::uint16_t id = two(rest, 0);
    const std::string_view set = rest.substr(4, two(rest, 2) - 4u);
    rest.remove_prefix(two(rest, 2));
    const std::uint16_t plain = head.version == 10 ? 2 : 0, options = head.version == 10 ? 3 : 1;
    if (id == plain || id == options) {
      if (!templates(held, set, head.version, id == options)) return false;
    } else if (id >= 256) {
      if (!held.templates.contains(id)) {
        ++counts_.no_template;
        all_read = false;
      } else if (!data(held, head, id, set, wanted, records)) {
        return false;
      }
    } else {
      ++counts_.bad_set;  // reserved: passed over
      all_read = false;
    }
  }
  return true;
}

// A template set or an options template set: RFC 7011, 3.4.1 and 3.4.2; RFC 3954, 5.2 and 6.1.
bool Decoder::templates(Session& held, std::string_view set, int version, bool options) {
  while (set.size() >= 4) {
    const std::uint16_t id = two(set, 0), count = two(set, 2);
    if (id == 0 && count == 0) return true;  // padding
    set.remove_prefix(4);
    if (version == 10 && count == 0) {  // a withdrawal, RFC 7011, 8.1
      ++counts_.withdrawn;
      const bool all = id == 2 || id == 3;
      std::erase_if(held.templates, [&](const auto& entry) {
        if (!all && entry.first != id) return false;
        if (all && (entry.second.scope > 0) != (id == 3)) return false;
        fields_held_ -= entry.second.fields.size();
        return true;
      });
      continue;
    }
    if (id < 256) {
      ++counts_.bad_template;
      return false;
    }
    Template made;
    std::size_t fields = count;
    if (options) {
      if (set.size() < 2) break;
      if (version == 10) {
        made.scope = two(set, 0);
      } else {  // two lengths in bytes: of the scope's fields and of the others
        made.scope = count / 4u;
        fields = made.scope + two(set, 0) / 4u;
      }
      set.remove_prefix(2);
    }
    if (fields == 0 || fields > bounds_.fields || made.scope > fields || (options && made.scope == 0)) {
      ++counts_.bad_template;
      return false;
    }
    for (std::size_t i = 0; i < fields; ++i) {
      if (set.size() < 4) break;
      Field field;
      field.key.id = two(set, 0);
      field.length = two(set, 2);
      set.remove_prefix(4);
      if (version == 10 && (field.key.id & 0x8000) != 0) {
        if (set.size() < 4) break;
        field.key.id &= 0x7fff;
        field.key.enterprise = four(set, 0);
        set.remove_prefix(4);
        if (field.key.enterprise == kReverse) field.key.enterprise = 0, field.key.reverse = true;
      }
      made.least += field.length == kVariable && version == 10 ? 1u : field.length;
      made.fields.push_back(field);
    }
    // A record of no bytes would be there without end.
    if (made.fields.size() != fields || made.least == 0) {
      ++counts_.bad_template;
      return false;
    }
    put(held, id, std::move(made));
  }
  return true;
}

void Decoder::put(Session& held, std::uint16_t id, Template made) {
  const auto found = held.templates.find(id);
  if (found != held.templates.end()) {
    if (found->second == made) return;  // told again, as over UDP
    ++counts_.redefined;
    fields_held_ -= found->second.fields.size();
    held.templates.erase(found);
  }
  if (held.templates.size() >= bounds_.templates || fields_held_ + made.fields.size() > bounds_.all_fields) {
    ++counts_.too_many;
    return;
  }
  ++counts_.templates;
  fields_held_ += made.fields.size();
  held.templates.emplace(id, std::move(made));
}

bool Decoder::data(Session& held, const MessageHead& head, std::uint16_t id, std::string_view set,
                   bool wanted, std::uint32_t& records) {
  const Template& known = held.templates.at(id);
  std::vector<Value> values;
  values.reserve(known.fields.size());
  // What is left shorter than any record is padding, RFC 7011, 3.3.1.
  while (set.size() >= known.least) {
    values.clear();
    for (const Field& field : known.fields) {
      std::size_t length = field.length;
      if (field.length == kVariable && head.version == 10) {
        if (set.empty()) break;
        length = static_cast<unsigned char>(set[0]);
        set.remove_prefix(1);
        if (length == 255) {
          if (set.size() < 2) break;
          length = two(set, 0);
          set.remove_prefix(2);
        }
      }
      if (length > set.size()) break;
      values.push_back({field.key, set.substr(0, length)});
      set.remove_prefix(length);
    }
    if (values.size() != known.fields.size()) {
      ++counts_.bad_record;
      return false;
    }
    ++records;
    ++counts_.records;
    if (wanted) reader_.record(head, id, values, known.scope);
  }
  return true;
}

}  // namespace hareramp::flows_tool
