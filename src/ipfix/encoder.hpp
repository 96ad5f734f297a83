// Encodes flow records as IPFIX (RFC 7011) or NetFlow v9 (RFC 3954) messages. It uses no sockets; the caller
// passes the time. One encoder produces the message stream of one observation domain and numbers its
// messages; a transport session adds only the templates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "ipfix/record.hpp"

namespace hareramp::ipfix {

enum class Version : std::uint16_t { kNetflow9 = 9, kIpfix = 10 };

// Values of the element nameKind.
enum class NameKind : std::uint8_t { kLocation = 1, kNode = 2, kRequestClass = 3 };

// A finished message with a summary of its contents, from which the caller accounts for a lost message.
struct Message {
  std::string bytes;
  std::uint32_t flows = 0;          // flow records
  std::uint64_t packets = 0;        // of the flow records, both directions
  std::uint64_t octets = 0;         // payload of the flow records, both directions
  std::uint32_t next_sequence = 0;  // sequence number of the next message
};

// Totals, since this run started, of what was not sent to a collector (RFC 7011, 4.3).
struct NotSent {
  std::uint64_t flows = 0, packets = 0, octets = 0;
  bool operator==(const NotSent&) const = default;
};

struct EncoderSettings {
  Version version = Version::kIpfix;
  std::uint32_t domain = 1, enterprise = 0;
  std::size_t message_bytes = 1400;
  Seconds started = 0;  // Unix time at which NetFlow's system uptime is 0
  std::uint32_t first_sequence = 0;
};

class Encoder {
 public:
  using MessageHandler = std::function<void(Message)>;
  // Passes each message to on_message when it is full, or at flush().
  Encoder(const EncoderSettings& settings, MessageHandler on_message);

  void flow(Seconds now, const Record& record);
  // Truncates name so that its record fits into a message of its own (NetFlow v9: 64 bytes, IPFIX: 254); the
  // director's names have 64 bytes at most.
  void name(Seconds now, NameKind kind, NameNumber number, std::string_view name);
  // Reports what was not sent to one collector. The record is part of the common stream, so the other
  // collectors receive it too.
  void not_sent(Seconds now, const Endpoint& collector, const NotSent& totals);
  // Reports the exporter's own statistics: when this run started (Unix seconds) and what it has sent.
  void exporter(Seconds now, std::uint64_t messages, std::uint64_t flows, std::uint64_t octets);
  // Describes the types of hareramp's enterprise elements (RFC 5610). IPFIX only.
  void element_types(Seconds now);
  // Adds the templates to the stream. NetFlow v9 only, as it numbers every packet, also one with templates.
  void templates(Seconds now);
  void flush(Seconds now);

  // A separate message with the templates, for one transport session. IPFIX only. Templates don't advance the
  // sequence number, so sequence is that of the next message to be sent.
  std::string session_templates(Seconds now, std::uint32_t sequence) const;
  std::uint32_t sequence() const { return sequence_; }
  static std::uint32_t sequence_of(std::string_view message);

 private:
  void append(Seconds now, std::uint16_t set_id, std::string_view record);
  void close_set();
  std::string header(Seconds now, std::uint32_t sequence) const;

  EncoderSettings settings_;
  MessageHandler on_message_;
  Message message_;
  std::size_t set_offset_ = 0;  // offset of the open set; 0: no set is open
  std::uint16_t set_id_ = 0;
  std::uint32_t records_ = 0, sequence_;
};

// Template IDs. The fields of a template never change, so a reload or a new version needs no template
// withdrawal.
enum TemplateId : std::uint16_t {
  kFlowV4 = 256,
  kFlowV6 = 257,
  kNames = 258,
  kNotSentV4 = 259,
  kNotSentV6 = 260,
  kExporterStatistics = 261,
  kElementTypes = 262
};

}  // namespace hareramp::ipfix
