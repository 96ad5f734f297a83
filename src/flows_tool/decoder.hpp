// Decodes IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages of any exporter by means of the templates that
// it sends. The decoder is written from the RFCs and shares no code with src/ipfix, so that an error in one
// of them shows up against the other. It uses no sockets, and its memory is bounded for any input.
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

// A decoded field; the view is valid only during the call.
struct Value {
  FieldKey key;
  std::string_view bytes;
  // The value as an unsigned integer of 1 to 8 bytes in network byte order, which includes reduced-size
  // encoding (RFC 7011, 6.2). No value for other lengths.
  std::optional<std::uint64_t> number() const;
};

struct MessageHeader {
  int version = 0;  // 9 or 10
  std::uint32_t domain = 0, sequence = 0, export_time = 0, uptime_ms = 0;
  std::size_t bytes = 0;
};

// Receives what the decoder reads.
class DecoderHandler {
 public:
  virtual ~DecoderHandler() = default;
  // Start of a message. Returns false if its records are not wanted (a duplicate).
  virtual bool message(const MessageHeader& header) = 0;
  // A data record. scope: the number of scope fields if it was sent with an options template, otherwise 0.
  virtual void record(const MessageHeader& header, std::uint16_t template_id,
                      const std::vector<Value>& values, std::size_t scope) = 0;
  virtual void message_end(const MessageHeader& header) = 0;
};

struct DecoderBounds {
  std::size_t sessions = 4096;  // one per exporter and domain; past it the least recently used is dropped
  std::size_t templates = 256;  // per session
  std::size_t fields = 256;     // per template
  std::size_t total_fields = 1 << 20;  // in all templates together
};

// Counters of what was decoded and of each kind of input that could not be used.
struct DecoderCounts {
  std::uint64_t messages = 0, records = 0, templates = 0, withdrawn = 0, redefined = 0;
  std::uint64_t bad_version = 0, bad_length = 0, bad_set = 0, bad_template = 0, bad_record = 0, too_many = 0;
  std::uint64_t no_template = 0;  // data sets received before their template
  std::uint64_t lost = 0;         // data records (IPFIX) or packets (v9) missing by their sequence numbers
  std::uint64_t out_of_order = 0, restarts = 0, sessions_forgotten = 0;
};

class Decoder {
 public:
  Decoder(const DecoderBounds& bounds, DecoderHandler& handler) : bounds_(bounds), handler_(handler) {}

  // Decodes one whole message. session identifies the transport session: the exporter's address and port, or
  // a connection. Returns false if the session can't be decoded any further (a TCP connection has to be
  // closed).
  bool message(const std::string& session, std::string_view bytes);
  void session_ended(const std::string& session);
  // The length of the IPFIX message at the start of a stream's buffered bytes. No value: more bytes are
  // needed. 0: this is not an IPFIX message.
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
    std::size_t min_record_bytes = 0;  // minimum length of a record in bytes
    bool operator==(const Template& other) const;
  };
  struct Session {
    std::map<std::uint16_t, Template> templates;
    std::optional<std::uint32_t> next_sequence;  // expected sequence number; no value: not known
    std::uint32_t export_time = 0, uptime_ms = 0;
    std::list<std::pair<std::string, std::uint32_t>>::iterator use_position;
  };
  using Key = std::pair<std::string, std::uint32_t>;

  Session& session_for(const std::string& name, std::uint32_t domain);
  void drop_session(const Key& key);
  void check_sequence(Session& session, const MessageHeader& header);
  bool decode_templates(Session& session, std::string_view set, int version, bool options);
  void store_template(Session& session, std::uint16_t id, Template parsed);
  bool decode_data_set(Session& session, const MessageHeader& header, std::uint16_t id, std::string_view set,
                       bool wanted, std::uint32_t& records);
  bool decode_ipfix(const std::string& name, std::string_view bytes);
  bool decode_netflow9(const std::string& name, std::string_view bytes);
  bool decode_sets(Session& session, const MessageHeader& header, std::string_view rest, bool wanted,
                   std::uint32_t& records, bool& all_read);

  DecoderBounds bounds_;
  DecoderHandler& handler_;
  DecoderCounts counts_;
  std::map<Key, Session> sessions_;
  std::list<Key> by_last_use_;  // least recently used first
  std::size_t total_fields_ = 0;
};

}  // namespace hareramp::flows_tool
