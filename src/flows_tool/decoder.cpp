#include "flows_tool/decoder.hpp"

#include <algorithm>

namespace hareramp::flows_tool {

namespace {

constexpr std::size_t kHeaderBytes = 16, kHeaderBytes9 = 20;
constexpr std::uint32_t kReversePen = 29305;      // RFC 5103, 6.1
constexpr std::uint16_t kVariableLength = 65535;  // RFC 7011, 7
// A difference of sequence numbers (modulo 2^32) from this on is a step back.
constexpr std::uint32_t kHalfSequenceSpace = 1u << 31;
// A step back to a sequence number below this counts as a restart of the exporter, not as reordering.
constexpr std::uint32_t kRestartSequence = 1000;

std::uint64_t read_number(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}
std::uint16_t read_u16(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(read_number(bytes, at, 2));
}
std::uint32_t read_u32(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint32_t>(read_number(bytes, at, 4));
}

}  // namespace

std::optional<std::uint64_t> Value::number() const {
  if (bytes.empty() || bytes.size() > 8) return {};
  return read_number(bytes, 0, bytes.size());
}

bool Decoder::Template::operator==(const Template& other) const {
  return scope == other.scope &&
         std::equal(fields.begin(), fields.end(), other.fields.begin(), other.fields.end(),
                    [](const Field& a, const Field& b) { return a.key == b.key && a.length == b.length; });
}

std::optional<std::size_t> Decoder::length(std::string_view bytes) {
  if (bytes.size() < 4) return {};
  if (read_u16(bytes, 0) != 10 || read_u16(bytes, 2) < kHeaderBytes) return 0;
  return read_u16(bytes, 2);
}

// Bounds the memory for sessions against too many exporters, real or forged: past the bound the least
// recently used session is dropped, and its data can't be decoded until its templates come again. This costs
// data where more genuine exporters than the bound send at the same time.
Decoder::Session& Decoder::session_for(const std::string& name, std::uint32_t domain) {
  const Key key{name, domain};
  const auto found = sessions_.find(key);
  if (found != sessions_.end()) {
    by_last_use_.splice(by_last_use_.end(), by_last_use_, found->second.use_position);
    return found->second;
  }
  if (sessions_.size() >= bounds_.sessions) {
    ++counts_.sessions_forgotten;
    drop_session(Key(by_last_use_.front()));
  }
  Session& added = sessions_[key];
  added.use_position = by_last_use_.insert(by_last_use_.end(), key);
  return added;
}

void Decoder::drop_session(const Key& key) {
  const auto found = sessions_.find(key);
  if (found == sessions_.end()) return;
  for (const auto& [id, stored] : found->second.templates) total_fields_ -= stored.fields.size();
  by_last_use_.erase(found->second.use_position);
  sessions_.erase(found);
}

void Decoder::session_ended(const std::string& name) {
  for (auto at = sessions_.lower_bound({name, 0}); at != sessions_.end() && at->first.first == name;) {
    const Key key = at->first;
    ++at;
    drop_session(key);
  }
}

bool Decoder::message(const std::string& name, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    ++counts_.bad_length;
    return false;
  }
  const int version = read_u16(bytes, 0);
  if (version == 10) return decode_ipfix(name, bytes);
  if (version == 9) return decode_netflow9(name, bytes);
  ++counts_.bad_version;
  return false;
}

// Sequence numbers count data records (RFC 7011, 3.1): a gap means loss, a step back means reordering or a
// restart of the exporter.
void Decoder::check_sequence(Session& session, const MessageHeader& header) {
  const bool uptime_decreased = header.version == 9 && header.uptime_ms + 1000 < session.uptime_ms;
  if (session.next_sequence && header.sequence != *session.next_sequence) {
    const std::uint32_t ahead = header.sequence - *session.next_sequence;
    if (uptime_decreased || (ahead >= kHalfSequenceSpace && header.sequence < kRestartSequence &&
                             header.export_time >= session.export_time)) {
      ++counts_.restarts;
    } else if (ahead < kHalfSequenceSpace) {
      counts_.lost += ahead;
    } else {
      ++counts_.out_of_order;
    }
  }
  session.export_time = std::max(session.export_time, header.export_time);
  session.uptime_ms = header.uptime_ms;
}

bool Decoder::decode_ipfix(const std::string& name, std::string_view bytes) {
  MessageHeader header{10, read_u32(bytes, 12), read_u32(bytes, 8), read_u32(bytes, 4), 0, bytes.size()};
  if (read_u16(bytes, 2) != bytes.size()) {
    ++counts_.bad_length;
    return false;
  }
  ++counts_.messages;
  Session& session = session_for(name, header.domain);
  check_sequence(session, header);
  const bool wanted = handler_.message(header);
  std::uint32_t records = 0;
  bool all_read = true;
  const bool readable = decode_sets(session, header, bytes.substr(kHeaderBytes), wanted, records, all_read);
  // Without its template the number of records in a set is unknown, and so is the next sequence number.
  if (all_read && readable)
    session.next_sequence = header.sequence + records;
  else
    session.next_sequence.reset();
  handler_.message_end(header);
  return readable;
}

bool Decoder::decode_netflow9(const std::string& name, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes9) {
    ++counts_.bad_length;
    return false;
  }
  MessageHeader header{
      9, read_u32(bytes, 16), read_u32(bytes, 12), read_u32(bytes, 8), read_u32(bytes, 4), bytes.size()};
  ++counts_.messages;
  Session& session = session_for(name, header.domain);
  check_sequence(session, header);
  const bool wanted = handler_.message(header);
  std::uint32_t records = 0;
  bool all_read = true;
  const bool readable = decode_sets(session, header, bytes.substr(kHeaderBytes9), wanted, records, all_read);
  session.next_sequence = header.sequence + 1;
  handler_.message_end(header);
  return readable;
}

bool Decoder::decode_sets(Session& session, const MessageHeader& header, std::string_view rest, bool wanted,
                          std::uint32_t& records, bool& all_read) {
  while (!rest.empty()) {
    if (rest.size() < 4 || read_u16(rest, 2) < 4 || read_u16(rest, 2) > rest.size()) {
      ++counts_.bad_set;
      return false;
    }
    const std::uint16_t id = read_u16(rest, 0);
    const std::string_view set = rest.substr(4, read_u16(rest, 2) - 4u);
    rest.remove_prefix(read_u16(rest, 2));
    const std::uint16_t template_set = header.version == 10 ? 2 : 0,
                        options_set = header.version == 10 ? 3 : 1;
    if (id == template_set || id == options_set) {
      if (!decode_templates(session, set, header.version, id == options_set)) return false;
    } else if (id >= 256) {
      if (!session.templates.contains(id)) {
        ++counts_.no_template;
        all_read = false;
      } else if (!decode_data_set(session, header, id, set, wanted, records)) {
        return false;
      }
    } else {
      ++counts_.bad_set;  // a reserved set ID: skipped
      all_read = false;
    }
  }
  return true;
}

// A template set or an options template set: RFC 7011, 3.4.1 and 3.4.2; RFC 3954, 5.2 and 6.1.
bool Decoder::decode_templates(Session& session, std::string_view set, int version, bool options) {
  while (set.size() >= 4) {
    const std::uint16_t id = read_u16(set, 0), count = read_u16(set, 2);
    if (id == 0 && count == 0) return true;  // padding
    set.remove_prefix(4);
    if (version == 10 && count == 0) {  // template withdrawal, RFC 7011, 8.1
      ++counts_.withdrawn;
      const bool all = id == 2 || id == 3;
      std::erase_if(session.templates, [&](const auto& entry) {
        if (!all && entry.first != id) return false;
        if (all && (entry.second.scope > 0) != (id == 3)) return false;
        total_fields_ -= entry.second.fields.size();
        return true;
      });
      continue;
    }
    if (id < 256) {
      ++counts_.bad_template;
      return false;
    }
    Template parsed;
    std::size_t fields = count;
    if (options) {
      if (set.size() < 2) break;
      if (version == 10) {
        parsed.scope = read_u16(set, 0);
      } else {  // two lengths in bytes: of the scope fields and of the other fields
        parsed.scope = count / 4u;
        fields = parsed.scope + read_u16(set, 0) / 4u;
      }
      set.remove_prefix(2);
    }
    if (fields == 0 || fields > bounds_.fields || parsed.scope > fields || (options && parsed.scope == 0)) {
      ++counts_.bad_template;
      return false;
    }
    for (std::size_t i = 0; i < fields; ++i) {
      if (set.size() < 4) break;
      Field field;
      field.key.id = read_u16(set, 0);
      field.length = read_u16(set, 2);
      set.remove_prefix(4);
      if (version == 10 && (field.key.id & 0x8000) != 0) {
        if (set.size() < 4) break;
        field.key.id &= 0x7fff;
        field.key.enterprise = read_u32(set, 0);
        set.remove_prefix(4);
        if (field.key.enterprise == kReversePen) field.key.enterprise = 0, field.key.reverse = true;
      }
      parsed.min_record_bytes += field.length == kVariableLength && version == 10 ? 1u : field.length;
      parsed.fields.push_back(field);
    }
    // A record length of 0 would make the loop over a data set endless.
    if (parsed.fields.size() != fields || parsed.min_record_bytes == 0) {
      ++counts_.bad_template;
      return false;
    }
    store_template(session, id, std::move(parsed));
  }
  return true;
}

void Decoder::store_template(Session& session, std::uint16_t id, Template parsed) {
  const auto found = session.templates.find(id);
  if (found != session.templates.end()) {
    if (found->second == parsed) return;  // resent unchanged, as is usual over UDP
    ++counts_.redefined;
    total_fields_ -= found->second.fields.size();
    session.templates.erase(found);
  }
  if (session.templates.size() >= bounds_.templates ||
      total_fields_ + parsed.fields.size() > bounds_.total_fields) {
    ++counts_.too_many;
    return;
  }
  ++counts_.templates;
  total_fields_ += parsed.fields.size();
  session.templates.emplace(id, std::move(parsed));
}

bool Decoder::decode_data_set(Session& session, const MessageHeader& header, std::uint16_t id,
                              std::string_view set, bool wanted, std::uint32_t& records) {
  const Template& record_template = session.templates.at(id);
  std::vector<Value> values;
  values.reserve(record_template.fields.size());
  // A rest shorter than the shortest record is padding (RFC 7011, 3.3.1).
  while (set.size() >= record_template.min_record_bytes) {
    values.clear();
    for (const Field& field : record_template.fields) {
      std::size_t length = field.length;
      if (field.length == kVariableLength && header.version == 10) {
        if (set.empty()) break;
        length = static_cast<unsigned char>(set[0]);
        set.remove_prefix(1);
        if (length == 255) {
          if (set.size() < 2) break;
          length = read_u16(set, 0);
          set.remove_prefix(2);
        }
      }
      if (length > set.size()) break;
      values.push_back({field.key, set.substr(0, length)});
      set.remove_prefix(length);
    }
    if (values.size() != record_template.fields.size()) {
      ++counts_.bad_record;
      return false;
    }
    ++records;
    ++counts_.records;
    if (wanted) handler_.record(header, id, values, record_template.scope);
  }
  return true;
}

}  // namespace hareramp::flows_tool
