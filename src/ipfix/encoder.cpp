#include "ipfix/encoder.hpp"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "ipfix/elements.hpp"

namespace hareramp::ipfix {

namespace {

namespace endian = boost::endian;

template <class Number>
void append_number(std::string& buffer, Number value) {
  unsigned char bytes[sizeof(Number)];
  endian::endian_store<Number, sizeof(Number), endian::order::big>(bytes, value);
  buffer.append(reinterpret_cast<const char*>(bytes), sizeof bytes);
}
template <class Number>
void store_number_at(std::string& buffer, std::size_t at, Number value) {
  endian::endian_store<Number, sizeof(Number), endian::order::big>(
      reinterpret_cast<unsigned char*>(buffer.data() + at), value);
}

std::uint64_t milliseconds(Seconds unix_time) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, unix_time) * 1000));
}
std::uint32_t whole_seconds(Seconds unix_time) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, unix_time)));
}

// The functions *_fields below list the fields of each kind of record once. A TemplateWriter turns them into
// a template and a RecordWriter into an encoded record, so that a template and its records can't disagree.
class TemplateWriter {
 public:
  explicit TemplateWriter(std::uint32_t enterprise_number) : enterprise_number_(enterprise_number) {}
  template <class Number>
  void iana(std::uint16_t id, Number) {
    all.push_back({id, sizeof(Number), 0});
  }
  template <class Number>
  void reverse(std::uint16_t id, Number) {
    all.push_back({id, sizeof(Number), kReversePen});
  }
  template <class Number>
  void enterprise(ElementId id, Number) {
    all.push_back({id, sizeof(Number), enterprise_number_});
  }
  void bytes(std::uint16_t id, const std::uint8_t*, std::uint16_t length) { all.push_back({id, length, 0}); }
  void text(std::uint16_t id, std::string_view) { all.push_back({id, kVariableLength, 0}); }
  void enterprise_text(ElementId id, std::string_view) {
    all.push_back({id, kVariableLength, enterprise_number_});
  }

  std::vector<Field> all;

 private:
  std::uint32_t enterprise_number_;
};

class RecordWriter {
 public:
  template <class Number>
  void iana(std::uint16_t, Number value) {
    append_number(all, value);
  }
  template <class Number>
  void reverse(std::uint16_t, Number value) {
    append_number(all, value);
  }
  template <class Number>
  void enterprise(ElementId, Number value) {
    append_number(all, value);
  }
  void bytes(std::uint16_t, const std::uint8_t* at, std::uint16_t length) {
    all.append(reinterpret_cast<const char*>(at), length);
  }
  // A variable-length field of up to 254 bytes, preceded by one byte with its length (RFC 7011, 7).
  void text(std::uint16_t, std::string_view value) {
    value = value.substr(0, 254);
    append_number(all, static_cast<std::uint8_t>(value.size()));
    all += value;
  }
  void enterprise_text(ElementId id, std::string_view value) { text(id, value); }

  std::string all;
};

// Element numbers of the IANA IPFIX registry, which RFC 7012 established.
template <class Out>
void flow_fields(Out& out, const Record& record, bool v6) {
  out.iana(148, record.id);  // flowId
  if (v6) {
    out.bytes(27, record.initiator.address.data(), 16);  // sourceIPv6Address
    out.bytes(28, record.responder.address.data(), 16);  // destinationIPv6Address
  } else {
    out.bytes(8, record.initiator.address.data(), 4);   // sourceIPv4Address
    out.bytes(12, record.responder.address.data(), 4);  // destinationIPv4Address
  }
  out.iana(7, record.initiator.port);                       // sourceTransportPort
  out.iana(11, record.responder.port);                      // destinationTransportPort
  out.iana(4, std::uint8_t{6});                             // protocolIdentifier: TCP
  out.iana(239, std::uint8_t{1});                           // biflowDirection: initiator
  out.iana(152, milliseconds(record.start));                // flowStartMilliseconds
  out.iana(153, milliseconds(record.end));                  // flowEndMilliseconds
  out.iana(136, static_cast<std::uint8_t>(record.reason));  // flowEndReason
  out.iana(401, record.delta.octets[kForward]);             // transportOctetDeltaCount
  out.reverse(401, record.delta.octets[kReverse]);
  out.iana(2, record.delta.packets[kForward]);  // packetDeltaCount
  out.reverse(2, record.delta.packets[kReverse]);
  out.iana(1, record.delta.wire[kForward]);  // octetDeltaCount
  out.reverse(1, record.delta.wire[kReverse]);
  out.enterprise(kPayloadOctetTotal, record.total.octets[kForward]);
  out.enterprise(kReversePayloadOctetTotal, record.total.octets[kReverse]);
  out.enterprise(kLocationReference, record.label.location.value);
  out.enterprise(kNodeReference, record.node.value);
  out.enterprise(kRequestClassReference, record.label.request_class.value);
  out.enterprise(kNodeRole, static_cast<std::uint8_t>(record.node_role));
  out.enterprise(kRequestOutcome, static_cast<std::uint8_t>(record.label.outcome));
  out.enterprise(kCacheNote, record.label.answer_detail);
  out.enterprise(kRequestDeltaCount, record.requests);
}

template <class Out>
void name_fields(Out& out, NameKind kind, NameNumber number, std::string_view name) {
  out.enterprise(kNameKind, static_cast<std::uint8_t>(kind));
  out.enterprise(kNameReference, number.value);
  out.enterprise_text(kReferenceName, name);
}

template <class Out>
void not_sent_fields(Out& out, const Endpoint& collector, const NotSent& totals) {
  if (collector.v6)
    out.bytes(212, collector.address.data(), 16);  // collectorIPv6Address
  else
    out.bytes(211, collector.address.data(), 4);  // collectorIPv4Address
  out.iana(216, collector.port);                  // collectorTransportPort
  out.iana(166, totals.flows);                    // notSentFlowTotalCount
  out.iana(167, totals.packets);                  // notSentPacketTotalCount
  out.iana(168, totals.octets);                   // notSentOctetTotalCount
}

template <class Out>
void exporter_fields(Out& out, std::uint32_t domain, Seconds started, std::uint64_t messages,
                     std::uint64_t flows, std::uint64_t octets) {
  out.iana(149, domain);                 // observationDomainId
  out.iana(160, milliseconds(started));  // systemInitTimeMilliseconds: another value means another run
  out.iana(41, messages);                // exportedMessageTotalCount
  out.iana(42, flows);                   // exportedFlowRecordTotalCount
  out.iana(40, octets);                  // exportedOctetTotalCount
}

template <class Out>
void type_fields(Out& out, std::uint32_t enterprise, const EnterpriseElement& element) {
  out.iana(346, enterprise);                                    // privateEnterpriseNumber
  out.iana(303, element.id);                                    // informationElementId
  out.iana(339, static_cast<std::uint8_t>(element.type));       // informationElementDataType
  out.iana(344, static_cast<std::uint8_t>(element.semantics));  // informationElementSemantics
  out.iana(345, static_cast<std::uint16_t>(element.units));     // informationElementUnits
  out.text(341, element.name);                                  // informationElementName
}

// NetFlow v9 has neither enterprise numbers nor reverse elements: octets and packets towards the initiator
// are OUT_BYTES and OUT_PKTS, times are milliseconds of uptime, and hareramp's own elements have the numbers
// from 57344 on, by agreement with the collector.
constexpr std::uint16_t kEnterpriseBase9 = 57344;
constexpr std::size_t kNameBytes9 = 64;  // bytes; v9 has no variable-length fields, so names are padded

struct UptimeRange9 {
  std::uint32_t first, last;
};

template <class Out>
void flow_fields9(Out& out, const Record& record, bool v6, UptimeRange9 times) {
  const auto element_number = [](ElementId id) { return static_cast<std::uint16_t>(kEnterpriseBase9 + id); };
  out.iana(148, record.id);  // flowId
  if (v6) {
    out.bytes(27, record.initiator.address.data(), 16);  // IPV6_SRC_ADDR
    out.bytes(28, record.responder.address.data(), 16);  // IPV6_DST_ADDR
  } else {
    out.bytes(8, record.initiator.address.data(), 4);   // IPV4_SRC_ADDR
    out.bytes(12, record.responder.address.data(), 4);  // IPV4_DST_ADDR
  }
  out.iana(7, record.initiator.port);            // L4_SRC_PORT
  out.iana(11, record.responder.port);           // L4_DST_PORT
  out.iana(4, std::uint8_t{6});                  // PROTOCOL
  out.iana(22, times.first);                     // FIRST_SWITCHED
  out.iana(21, times.last);                      // LAST_SWITCHED
  out.iana(1, record.delta.wire[kForward]);      // IN_BYTES
  out.iana(23, record.delta.wire[kReverse]);     // OUT_BYTES
  out.iana(2, record.delta.packets[kForward]);   // IN_PKTS
  out.iana(24, record.delta.packets[kReverse]);  // OUT_PKTS
  out.iana(static_cast<std::uint16_t>(kEnterpriseBase9 + 40), record.delta.octets[kForward]);
  out.iana(static_cast<std::uint16_t>(kEnterpriseBase9 + 41), record.delta.octets[kReverse]);
  out.iana(element_number(kPayloadOctetTotal), record.total.octets[kForward]);
  out.iana(element_number(kReversePayloadOctetTotal), record.total.octets[kReverse]);
  out.iana(element_number(kLocationReference), record.label.location.value);
  out.iana(element_number(kNodeReference), record.node.value);
  out.iana(element_number(kRequestClassReference), record.label.request_class.value);
  out.iana(element_number(kNodeRole), static_cast<std::uint8_t>(record.node_role));
  out.iana(element_number(kRequestOutcome), static_cast<std::uint8_t>(record.label.outcome));
  out.iana(element_number(kCacheNote), record.label.answer_detail);
  out.iana(element_number(kRequestDeltaCount), record.requests);
  out.iana(static_cast<std::uint16_t>(kEnterpriseBase9 + 42), static_cast<std::uint8_t>(record.reason));
}

template <class Out>
void name_fields9(Out& out, std::uint32_t domain, NameKind kind, NameNumber number,
                  const std::uint8_t* name) {
  out.iana(1, domain);  // scope: System
  out.iana(kEnterpriseBase9 + kNameKind, static_cast<std::uint8_t>(kind));
  out.iana(kEnterpriseBase9 + kNameReference, number.value);
  out.bytes(kEnterpriseBase9 + kReferenceName, name, kNameBytes9);
}

void append_template(std::string& buffer, std::uint16_t template_id, const std::vector<Field>& fields,
                     std::size_t scope_fields) {
  append_number(buffer, template_id);
  append_number(buffer, static_cast<std::uint16_t>(fields.size()));
  if (scope_fields > 0) append_number(buffer, static_cast<std::uint16_t>(scope_fields));
  for (const Field& field : fields) {
    append_number(buffer, static_cast<std::uint16_t>(field.id | (field.enterprise != 0 ? 0x8000 : 0)));
    append_number(buffer, field.length);
    if (field.enterprise != 0) append_number(buffer, field.enterprise);
  }
}

struct TemplateList {
  std::string data, options;  // template and options template records, without set headers
};

TemplateList ipfix_templates(std::uint32_t enterprise) {
  TemplateList list;
  const auto add = [&](std::string& buffer, std::uint16_t template_id, std::size_t scope_fields,
                       const auto& write) {
    TemplateWriter fields(enterprise);
    write(fields);
    append_template(buffer, template_id, fields.all, scope_fields);
  };
  const Record record;
  Endpoint v6;
  v6.v6 = true;
  add(list.data, kFlowV4, 0, [&](auto& out) { flow_fields(out, record, false); });
  add(list.data, kFlowV6, 0, [&](auto& out) { flow_fields(out, record, true); });
  add(list.options, kNames, 2, [&](auto& out) { name_fields(out, NameKind::kLocation, {}, ""); });
  add(list.options, kNotSentV4, 2, [&](auto& out) { not_sent_fields(out, Endpoint(), {}); });
  add(list.options, kNotSentV6, 2, [&](auto& out) { not_sent_fields(out, v6, {}); });
  add(list.options, kExporterStatistics, 1, [&](auto& out) { exporter_fields(out, 0, 0, 0, 0, 0); });
  add(list.options, kElementTypes, 2, [&](auto& out) { type_fields(out, 0, kEnterpriseElements[0]); });
  return list;
}

// Set IDs of template and options template sets in the two versions.
constexpr std::uint16_t kTemplateSet = 2, kOptionsSet = 3;    // RFC 7011, 3.3.2
constexpr std::uint16_t kTemplateSet9 = 0, kOptionsSet9 = 1;  // RFC 3954, 5.2 and 6.1

}  // namespace

Encoder::Encoder(const EncoderSettings& settings, MessageHandler on_message)
    : settings_(settings), on_message_(std::move(on_message)), sequence_(settings.first_sequence) {}

std::string Encoder::header(Seconds now, std::uint32_t sequence) const {
  std::string bytes;
  append_number(bytes, static_cast<std::uint16_t>(settings_.version));
  append_number(bytes, std::uint16_t{0});  // length, or count of records
  if (settings_.version == Version::kNetflow9)
    append_number(bytes, static_cast<std::uint32_t>(milliseconds(std::floor(now) - settings_.started)));
  append_number(bytes, whole_seconds(now));
  append_number(bytes, sequence);
  append_number(bytes, settings_.domain);
  return bytes;
}

std::uint32_t Encoder::sequence_of(std::string_view message) {
  const bool is_netflow9 = message.size() > 1 && message[1] == 9;
  return endian::load_big_u32(reinterpret_cast<const unsigned char*>(message.data()) +
                              (is_netflow9 ? 12 : 8));
}

void Encoder::close_set() {
  if (set_offset_ == 0) return;
  if (settings_.version == Version::kNetflow9)
    while ((message_.bytes.size() - set_offset_) % 4 != 0) message_.bytes += '\0';  // RFC 3954, 5.3
  store_number_at(message_.bytes, set_offset_ + 2,
                  static_cast<std::uint16_t>(message_.bytes.size() - set_offset_));
  set_offset_ = 0;
}

// Keeps messages within the path's MTU: IP would fragment a larger one, and the loss of one fragment loses
// the whole message. A record that doesn't fit ends the current message and starts the next. A single record
// is always smaller than the smallest message size that the settings allow.
void Encoder::append(Seconds now, std::uint16_t set_id, std::string_view record) {
  const std::size_t needed = record.size() + 4 + 3;  // with the set header and padding
  if (!message_.bytes.empty() && message_.bytes.size() + needed > settings_.message_bytes) flush(now);
  if (message_.bytes.empty()) message_.bytes = header(now, sequence_);
  if (set_offset_ == 0 || set_id_ != set_id) {
    close_set();
    set_offset_ = message_.bytes.size();
    set_id_ = set_id;
    append_number(message_.bytes, set_id);
    append_number(message_.bytes, std::uint16_t{0});
  }
  message_.bytes += record;
  ++records_;
}

void Encoder::flush(Seconds now) {
  if (message_.bytes.empty()) return;
  close_set();
  const bool is_netflow9 = settings_.version == Version::kNetflow9;
  store_number_at(message_.bytes, 2,
                  static_cast<std::uint16_t>(is_netflow9 ? records_ : message_.bytes.size()));
  // NetFlow's times are relative to the moment when the uptime was 0. A collector computes that moment from
  // the uptime and the header's time, which is in whole seconds, so the uptime is that of the whole second.
  if (is_netflow9)
    store_number_at(message_.bytes, 4,
                    static_cast<std::uint32_t>(milliseconds(std::floor(now) - settings_.started)));
  store_number_at(message_.bytes, is_netflow9 ? 8 : 4, whole_seconds(now));
  // RFC 3954, 5.1 numbers packets; RFC 7011, 3.1 counts data records.
  sequence_ += is_netflow9 ? 1 : records_;
  message_.next_sequence = sequence_;
  records_ = 0;
  on_message_(std::exchange(message_, {}));
}

void Encoder::flow(Seconds now, const Record& record) {
  const bool v6 = record.initiator.v6;
  RecordWriter writer;
  writer.all.reserve(200);
  if (settings_.version == Version::kNetflow9) {
    const auto uptime = [&](Seconds at) {
      return static_cast<std::uint32_t>(milliseconds(at - settings_.started));
    };
    flow_fields9(writer, record, v6, {uptime(record.start), uptime(record.end)});
  } else {
    flow_fields(writer, record, v6);
  }
  append(now, v6 ? kFlowV6 : kFlowV4, writer.all);
  ++message_.flows;
  message_.packets += record.delta.packets[kForward] + record.delta.packets[kReverse];
  message_.octets += record.delta.octets[kForward] + record.delta.octets[kReverse];
}

void Encoder::name(Seconds now, NameKind kind, NameNumber number, std::string_view name) {
  RecordWriter writer;
  if (settings_.version == Version::kNetflow9) {
    std::string padded(name.substr(0, kNameBytes9));
    padded.resize(kNameBytes9, '\0');
    name_fields9(writer, settings_.domain, kind, number,
                 reinterpret_cast<const std::uint8_t*>(padded.data()));
  } else {
    name_fields(writer, kind, number, name);
  }
  append(now, kNames, writer.all);
}

void Encoder::not_sent(Seconds now, const Endpoint& collector, const NotSent& totals) {
  if (settings_.version == Version::kNetflow9) return;  // NetFlow v9 has no element for this
  RecordWriter writer;
  not_sent_fields(writer, collector, totals);
  append(now, collector.v6 ? kNotSentV6 : kNotSentV4, writer.all);
}

void Encoder::exporter(Seconds now, std::uint64_t messages, std::uint64_t flows, std::uint64_t octets) {
  if (settings_.version == Version::kNetflow9) return;  // NetFlow v9 has the uptime in its header
  RecordWriter writer;
  exporter_fields(writer, settings_.domain, settings_.started, messages, flows, octets);
  append(now, kExporterStatistics, writer.all);
}

void Encoder::element_types(Seconds now) {
  if (settings_.version == Version::kNetflow9) return;
  for (const EnterpriseElement& element : kEnterpriseElements) {
    RecordWriter writer;
    type_fields(writer, settings_.enterprise, element);
    append(now, kElementTypes, writer.all);
  }
}

void Encoder::templates(Seconds now) {
  if (settings_.version != Version::kNetflow9) return;
  const Record record;
  std::uint8_t name[kNameBytes9] = {};
  for (const bool v6 : {false, true}) {
    TemplateWriter fields(0);
    flow_fields9(fields, record, v6, {0, 0});
    std::string bytes;
    append_template(bytes, v6 ? kFlowV6 : kFlowV4, fields.all, 0);
    append(now, kTemplateSet9, bytes);
  }
  TemplateWriter fields(0);
  name_fields9(fields, 0, NameKind::kLocation, {}, name);
  std::string bytes;
  append_number(bytes, std::uint16_t{kNames});
  append_number(bytes, std::uint16_t{4});  // length of the scope fields in bytes
  // Length of the other fields in bytes.
  append_number(bytes, static_cast<std::uint16_t>(4 * (fields.all.size() - 1)));
  for (const Field& field : fields.all) append_number(bytes, field.id), append_number(bytes, field.length);
  append(now, kOptionsSet9, bytes);
}

std::string Encoder::session_templates(Seconds now, std::uint32_t sequence) const {
  const TemplateList list = ipfix_templates(settings_.enterprise);
  std::string message = header(now, sequence);
  const auto add = [&](std::uint16_t set_id, const std::string& records) {
    append_number(message, set_id);
    append_number(message, static_cast<std::uint16_t>(records.size() + 4));
    message += records;
  };
  add(kTemplateSet, list.data);
  add(kOptionsSet, list.options);
  store_number_at(message, 2, static_cast<std::uint16_t>(message.size()));
  return message;
}

}  // namespace hareramp::ipfix
