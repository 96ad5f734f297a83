// Writes IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages from the same records. Bytes out, no sockets, no
// clock but the caller's. One encoder is one observation domain's stream: its messages, in order, carry the
// sequence numbers; sessions only add the templates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "ipfix/record.hpp"

namespace hareramp::ipfix {

enum class Version : std::uint16_t { kNetflow9 = 9, kIpfix = 10 };

// nameKind
enum class NameKind : std::uint8_t { kLocation = 1, kNode = 2, kRequestClass = 3 };

// A finished message with what is in it, for whoever has to account for its loss.
struct Message {
  std::string bytes;
  std::uint32_t flows = 0;          // flow records
  std::uint64_t packets = 0;        // of these, both directions
  std::uint64_t octets = 0;         // payload of these, both directions
  std::uint32_t next_sequence = 0;  // of the message after this one
};

// What a collector has not been sent (RFC 7011, 4.3), for all time of this run.
struct NotSent {
  std::uint64_t flows = 0, packets = 0, octets = 0;
  bool operator==(const NotSent&) const = default;
};

struct EncoderSettings {
  Version version = Version::kIpfix;
  std::uint32_t domain = 1, enterprise = 0;
  std::size_t message_bytes = 1400;
  Seconds started = 0;  // Unix time that NetFlow's uptime counts from
  std::uint32_t first_sequence = 0;
};

class Encoder {
 public:
  using MessageHandler = std::function<void(Message)>;
  // done gets each message as it is full, or at flush().
  Encoder(const EncoderSettings& settings, MessageHandler done);

  void flow(Seconds now, const Record& record);
  // name is cut to what fits into a message together with nothing else; names here have 64 bytes at most.
  void name(Seconds now, NameKind kind, NameNumber number, std::string_view name);
  // What one collector has not been sent; told in the stream, so that the others hear of it too.
  void not_sent(Seconds now, const Endpoint& collector, const NotSent& totals);
  // The exporter itself: when this run began (Unix seconds) and what it has sent.
  void exporter(Seconds now, std::uint64_t messages, std::uint64_t flows, std::uint64_t octets);
  // The types of our own elements, RFC 5610. IPFIX only.
  void element_types(Seconds now);
  // Templates as messages of the stream; NetFlow v9, whose every packet has a number.
  void templates(Seconds now);
  void flush(Seconds now);

  // The templates as messages of their own for one session. IPFIX only: they don't move the sequence, so
  // sequence is that of the message to be sent next.
  std::string session_templates(Seconds now, std::uint32_t sequence) const;
  std::uint32_t sequence() const { return sequence_; }
  static std::uint32_t sequence_of(std::string_view message);

 private:
  void append(Seconds now, std::uint16_t set, std::string_view record);
  void close_set();
  std::string header(Seconds now, std::uint32_t sequence) const;

  EncoderSettings settings_;
  MessageHandler done_;
  Message message_;
  std::size_t set_at_ = 0;  // where the open set begins; 0: none is open
  std::uint16_t set_ = 0;
  std::uint32_t records_ = 0, sequence_;
};

// Template numbers; they never change their fields, so that a reload or a new version needs no withdrawal.
enum TemplateNumber : std::uint16_t {
  kFlowV4 = 256,
  kFlowV6 = 257,
  kNames = 258,
  kNotSentV4 = 259,
  kNotSentV6 = 260,
  kExporterFigures = 261,
  kElementTypes = 262
};

}  // namespace hareramp::ipfix
