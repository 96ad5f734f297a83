// Reads IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) as a collector has to: by the templates that come, whoever
// sends them. A reading of its own from the RFCs: it shares nothing with src/ipfix, so that an error of one
// shows in the other. Bytes in, calls out; no sockets. Bounded for any input.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hareramp::flows_tool {

struct FieldKey {
  std::uint32_t enterprise = 0;
  std::uint16_t id = 0;
  bool reverse = false;  // RFC 5103
  auto operator<=>(const FieldKey&) const = default;
};

// A decoded field; the view lasts only for the call.
struct Value {
  FieldKey key;
  std::string_view bytes;
  // As an unsigned number of up to 8 bytes in network order (reduced sizes included, RFC 7011, 6.2).
  std::optional<std::uint64_t> number() const;
};

struct MessageHead {
  int version = 0;  // 9 or 10
  std::uint32_t domain = 0, sequence = 0, export_time = 0, uptime_ms = 0;
  std::size_t bytes = 0;
};

class Reader {
 public:
  virtual ~Reader() = default;
  // A message begins; false: its records are not wanted (it came before).
  virtual bool message(const MessageHead& head) = 0;
  // A data record. scope: it comes by an options template, with so many fields of scope.
  virtual void record(const MessageHead& head, std::uint16_t template_id, const std::vector<Value>& values,
                      std::size_t scope) = 0;
  virtual void message_ends(const MessageHead& head) = 0;
};

struct DecoderBounds {
  std::size_t sessions = 4096;       // by exporter and domain; the one quiet longest goes
  std::size_t templates = 256;       // in a session
  std::size_t fields = 256;          // in a template
  std::size_t all_fields = 1 << 20;  // in all templates together
};

// What could not be used, and what was found; each with a counter of its own.
struct DecoderCounts {
  std::uint64_t messages = 0, records = 0, templates = 0, withdrawn = 0, redefined = 0;
  std::uint64_t bad_version = 0, bad_length = 0, bad_set = 0, bad_template = 0, bad_record = 0, too_many = 0;
  std::uint64_t no_template = 0;  // data sets that came before their template
  std::uint64_t lost = 0;         // data records (IPFIX) or packets (v9) that the numbers say are missing
  std::uint64_t out_of_order = 0, restarts = 0, sessions_forgotten = 0;
};

class Decoder {
 public:
  Decoder(const DecoderBounds& bounds, Reader& reader) : bounds_(bounds), reader_(reader) {}

  // One whole message. session names the transport session: the exporter's address and port, or a connection.
  // False: the session can't be read any further (over TCP it has to be closed).
  bool message(const std::string& session, std::string_view bytes);
  void session_ended(const std::string& session);
  // How long the message that begins here is, over a stream; nothing yet if that can't be told; 0: no
  // message.
  static std::optional<std::size_t> length(std::string_view bytes);

  const DecoderCounts& counts() const { return counts_; }
  std::size_t sessions() const { return sessions_.size(); }

 private:
  struct Field {
    FieldKey key;
    std::uint16_t length = 0;
  };
  struct Template {
    std::vector<Field> fields;
    std::size_t scope = 0;
    std::size_t least = 0;  // bytes of a record
    bool operator==(const Template& other) const;
  };
  struct Session {
    std::map<std::uint16_t, Template> templates;
    std::optional<std::uint32_t> next;  // sequence number; nothing: not known
    std::uint32_t export_time = 0, uptime_ms = 0;
    std::list<std::pair<std::string, std::uint32_t>>::iterator used;
  };
  using Key = std::pair<std::string, std::uint32_t>;

  Session& session(const std::string& name, std::uint32_t domain);
  void forget(const Key& key);
  void look_at_sequence(Session& session, const MessageHead& head);
  bool templates(Session& session, std::string_view set, int version, bool options);
  void put(Session& session, std::uint16_t id, Template made);
  bool data(Session& session, const MessageHead& head, std::uint16_t id, std::string_view set, bool wanted,
            std::uint32_t& records);
  bool ipfix(const std::string& name, std::string_view bytes);
  bool netflow9(const std::string& name, std::string_view bytes);
  bool sets(Session& session, const MessageHead& head, std::string_view rest, bool wanted,
            std::uint32_t& records, bool& all_read);

  DecoderBounds bounds_;
  Reader& reader_;
  DecoderCounts counts_;
  std::map<Key, Session> sessions_;
  std::list<Key> by_use_;  // the one used last is last
  std::size_t fields_held_ = 0;
};

}  // namespace hareramp::flows_tool
