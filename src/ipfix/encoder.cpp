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
void put(std::string& to, Number value) {
  unsigned char bytes[sizeof(Number)];
  endian::endian_store<Number, sizeof(Number), endian::order::big>(bytes, value);
  to.append(reinterpret_cast<const char*>(bytes), sizeof bytes);
}
template <class Number>
void put_at(std::string& to, std::size_t at, Number value) {
  endian::endian_store<Number, sizeof(Number), endian::order::big>(
      reinterpret_cast<unsigned char*>(to.data() + at), value);
}

std::uint64_t milliseconds(Seconds unix_time) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, unix_time) * 1000));
}
std::uint32_t whole_seconds(Seconds unix_time) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, unix_time)));
}

// The fields of each kind of record stand once, in the functions below, and are read in two ways: as the
// template's fields and as a record's bytes. So the two can't come apart.
class Fields {
 public:
  explicit Fields(std::uint32_t own) : own_(own) {}
  template <class Number>
  void iana(std::uint16_t id, Number) {
    all.push_back({id, sizeof(Number), 0});
  }
  template <class Number>
  void reverse(std::uint16_t id, Number) {
    all.push_back({id, sizeof(Number), kReversePen});
  }
  template <class Number>
  void own(Own id, Number) {
    all.push_back({id, sizeof(Number), own_});
  }
  void bytes(std::uint16_t id, const std::uint8_t*, std::uint16_t length) { all.push_back({id, length, 0}); }
  void text(std::uint16_t id, std::string_view) { all.push_back({id, kVariable, 0}); }
  void own_text(Own id, std::string_view) { all.push_back({id, kVariable, own_}); }

  std::vector<Field> all;

 private:
  std::uint32_t own_;
};

class Bytes {
 public:
  template <class Number>
  void iana(std::uint16_t, Number value) {
    put(all, value);
  }
  template <class Number>
  void reverse(std::uint16_t, Number value) {
    put(all, value);
  }
  template <class Number>
  void own(Own, Number value) {
    put(all, value);
  }
  void bytes(std::uint16_t, const std::uint8_t* at, std::uint16_t length) {
    all.append(reinterpret_cast<const char*>(at), length);
  }
  void text(std::uint16_t, std::string_view value) {  // RFC 7011, 7: up to 254 bytes behind one of length
    value = value.substr(0, 254);
    put(all, static_cast<std::uint8_t>(value.size()));
    all += value;
  }
  void own_text(Own id, std::string_view value) { text(id, value); }

  std::string all;
};

// IANA element numbers, RFC 7012 and the registry it began.
template <class Out>
void flow_fields(Out& out, const Record& r, bool v6) {
  out.iana(148, r.id);  // flowId
  if (v6) {
    out.bytes(27, r.initiator.address.data(), 16);  // sourceIPv6Address
    out.bytes(28, r.responder.address.data(), 16);  // destinationIPv6Address
  } else {
    out.bytes(8, r.initiator.address.data(), 4);   // sourceIPv4Address
    out.bytes(12, r.responder.address.data(), 4);  // destinationIPv4Address
  }
  out.iana(7, r.initiator.port);                       // sourceTransportPort
  out.iana(11, r.responder.port);                      // destinationTransportPort
  out.iana(4, std::uint8_t{6});                        // protocolIdentifier: TCP
  out.iana(239, std::uint8_t{1});                      // biflowDirection: initiator
  out.iana(152, milliseconds(r.start));                // flowStartMilliseconds
  out.iana(153, milliseconds(r.end));                  // flowEndMilliseconds
  out.iana(136, static_cast<std::uint8_t>(r.reason));  // flowEndReason
  out.iana(401, r.delta.octets[kForward]);             // transportOctetDeltaCount
  out.reverse(401, r.delta.octets[kReverse]);
  out.iana(2, r.delta.packets[kForward]);  // packetDeltaCount
  out.reverse(2, r.delta.packets[kReverse]);
  out.iana(1, r.delta.wire[kForward]);  // octetDeltaCount
  out.reverse(1, r.delta.wire[kReverse]);
  out.own(kPayloadOctetTotal, r.total.octets[kForward]);
  out.own(kReversePayloadOctetTotal, r.total.octets[kReverse]);
  out.own(kLocationReference, r.label.location.value);
  out.own(kNodeReference, r.node.value);
  out.own(kRequestClassReference, r.label.request_class.value);
  out.own(kNodeRole, static_cast<std::uint8_t>(r.node_role));
  out.own(kRequestOutcome, static_cast<std::uint8_t>(r.label.outcome));
  out.own(kCacheNote, r.label.answer_detail);
  out.own(kRequestDeltaCount, r.requests);
}

template <class Out>
void name_fields(Out& out, NameKind kind, NameNumber number, std::string_view name) {
  out.own(kNameKind, static_cast<std::uint8_t>(kind));
  out.own(kNameReference, number.value);
  out.own_text(kReferenceName, name);
}

template <class Out>
void not_sent_fields(Out& out, const Endpoint& to, const NotSent& totals) {
  if (to.v6)
    out.bytes(212, to.address.data(), 16);  // collectorIPv6Address
  else
    out.bytes(211, to.address.data(), 4);  // collectorIPv4Address
  out.iana(216, to.port);                  // collectorTransportPort
  out.iana(166, totals.flows);             // notSentFlowTotalCount
  out.iana(167, totals.packets);           // notSentPacketTotalCount
  out.iana(168, totals.octets);            // notSentOctetTotalCount
}

template <class Out>
void exporter_fields(Out& out, std::uint32_t domain, Seconds started, std::uint64_t messages,
                     std::uint64_t flows, std::uint64_t octets) {
  out.iana(149, domain);                 // observationDomainId
  out.iana(160, milliseconds(started));  // systemInitTimeMilliseconds: a new one is a new run
  out.iana(41, messages);                // exportedMessageTotalCount
  out.iana(42, flows);                   // exportedFlowRecordTotalCount
  out.iana(40, octets);                  // exportedOctetTotalCount
}

template <class Out>
void type_fields(Out& out, std::uint32_t enterprise, const OwnElement& element) {
  out.iana(346, enterprise);                                    // privateEnterpriseNumber
  out.iana(303, element.id);                                    // informationElementId
  out.iana(339, static_cast<std::uint8_t>(element.type));       // informationElementDataType
  out.iana(344, static_cast<std::uint8_t>(element.semantics));  // informationElementSemantics
  out.iana(345, static_cast<std::uint16_t>(element.units));     // informationElementUnits
  out.text(341, element.name);                                  // informationElementName
}

// NetFlow v9 knows neither enterprise numbers nor reverse elements: octets and packets towards the initiator
// are OUT_BYTES and OUT_PKTS, times are milliseconds of uptime, and our own elements stand from 57344 on, by
// agreement with the collector.
constexpr std::uint16_t kOwn9 = 57344;
constexpr std::size_t kName9 = 64;

struct Times9 {
  std::uint32_t first, last;
};

template <class Out>
void flow_fields9(Out& out, const Record& r, bool v6, Times9 times) {
  const auto own = [](Own id) { return static_cast<std::uint16_t>(kOwn9 + id); };
  out.iana(148, r.id);
  if (v6) {
    out.bytes(27, r.initiator.address.data(), 16);  // IPV6_SRC_ADDR
    out.bytes(28, r.responder.address.data(), 16);  // IPV6_DST_ADDR
  } else {
    out.bytes(8, r.initiator.address.data(), 4);   // IPV4_SRC_ADDR
    out.bytes(12, r.responder.address.data(), 4);  // IPV4_DST_ADDR
  }
  out.iana(7, r.initiator.port);            // L4_SRC_PORT
  out.iana(11, r.responder.port);           // L4_DST_PORT
  out.iana(4, std::uint8_t{6});             // PROTOCOL
  out.iana(22, times.first);                // FIRST_SWITCHED
  out.iana(21, times.last);                 // LAST_SWITCHED
  out.iana(1, r.delta.wire[kForward]);      // IN_BYTES
  out.iana(23, r.delta.wire[kReverse]);     // OUT_BYTES
  out.iana(2, r.delta.packets[kForward]);   // IN_PKTS
  out.iana(24, r.delta.packets[kReverse]);  // OUT_PKTS
  out.iana(static_cast<std::uint16_t>(kOwn9 + 40), r.delta.octets[kForward]);
  out.iana(static_cast<std::uint16_t>(kOwn9 + 41), r.delta.octets[kReverse]);
  out.iana(own(kPayloadOctetTotal), r.total.octets[kForward]);
  out.iana(own(kReversePayloadOctetTotal), r.total.octets[kReverse]);
  out.iana(own(kLocationReference), r.label.location.value);
  out.iana(own(kNodeReference), r.node.value);
  out.iana(own(kRequestClassReference), r.label.request_class.value);
  out.iana(own(kNodeRole), static_cast<std::uint8_t>(r.node_role));
  out.iana(own(kRequestOutcome), static_cast<std::uint8_t>(r.label.outcome));
  out.iana(own(kCacheNote), r.label.answer_detail);
  out.iana(own(kRequestDeltaCount), r.requests);
  out.iana(static_cast<std::uint16_t>(kOwn9 + 42), static_cast<std::uint8_t>(r.reason));
}

template <class Out>
void name_fields9(Out& out, std::uint32_t domain, NameKind kind, NameNumber number,
                  const std::uint8_t* name) {
  out.iana(1, domain);  // scope: System
  out.iana(kOwn9 + kNameKind, static_cast<std::uint8_t>(kind));
  out.iana(kOwn9 + kNameReference, number.value);
  out.bytes(kOwn9 + kReferenceName, name, kName9);
}

void put_template(std::string& to, std::uint16_t number, const std::vector<Field>& fields,
                  std::size_t scopes) {
  put(to, number);
  put(to, static_cast<std::uint16_t>(fields.size()));
  if (scopes > 0) put(to, static_cast<std::uint16_t>(scopes));
  for (const Field& field : fields) {
    put(to, static_cast<std::uint16_t>(field.id | (field.enterprise != 0 ? 0x8000 : 0)));
    put(to, field.length);
    if (field.enterprise != 0) put(to, field.enterprise);
  }
}

struct TemplateList {
  std::string data, options;  // template records of either kind, without the sets' headers
};

TemplateList ipfix_templates(std::uint32_t enterprise) {
  TemplateList list;
  const auto add = [&](std::string& to, std::uint16_t number, std::size_t scopes, const auto& write) {
    Fields fields(enterprise);
    write(fields);
    put_template(to, number, fields.all, scopes);
  };
  const Record record;
  Endpoint v6;
  v6.v6 = true;
  add(list.data, kFlowV4, 0, [&](auto& out) { flow_fields(out, record, false); });
  add(list.data, kFlowV6, 0, [&](auto& out) { flow_fields(out, record, true); });
  add(list.options, kNames, 2, [&](auto& out) { name_fields(out, NameKind::kLocation, {}, ""); });
  add(list.options, kNotSentV4, 2, [&](auto& out) { not_sent_fields(out, Endpoint(), {}); });
  add(list.options, kNotSentV6, 2, [&](auto& out) { not_sent_fields(out, v6, {}); });
  add(list.options, kExporterFigures, 1, [&](auto& out) { exporter_fields(out, 0, 0, 0, 0, 0); });
  add(list.options, kElementTypes, 2, [&](auto& out) { type_fields(out, 0, kOwnElements[0]); });
  return list;
}

// Where a template or options set begins in the two versions.
constexpr std::uint16_t kTemplateSet = 2, kOptionsSet = 3;    // RFC 7011, 3.3.2
constexpr std::uint16_t kTemplateSet9 = 0, kOptionsSet9 = 1;  // RFC 3954, 5.2 and 6.1

}  // namespace

Encoder::Encoder(const EncoderSettings& settings, MessageHandler done)
    : settings_(settings), done_(std::move(done)), sequence_(settings.first_sequence) {}

std::string Encoder::header(Seconds now, std::uint32_t sequence) const {
  std::string bytes;
  put(bytes, static_cast<std::uint16_t>(settings_.version));
  put(bytes, std::uint16_t{0});  // length, or count of records
  if (settings_.version == Version::kNetflow9)
    put(bytes, static_cast<std::uint32_t>(milliseconds(std::floor(now) - settings_.started)));
  put(bytes, whole_seconds(now));
  put(bytes, sequence);
  put(bytes, settings_.domain);
  return bytes;
}

std::uint32_t Encoder::sequence_of(std::string_view message) {
  const bool nine = message.size() > 1 && message[1] == 9;
  return endian::load_big_u32(reinterpret_cast<const unsigned char*>(message.data()) + (nine ? 12 : 8));
}

void Encoder::close_set() {
  if (set_at_ == 0) return;
  if (settings_.version == Version::kNetflow9)
    while ((message_.bytes.size() - set_at_) % 4 != 0) message_.bytes += '\0';  // RFC 3954, 5.3
  put_at(message_.bytes, set_at_ + 2, static_cast<std::uint16_t>(message_.bytes.size() - set_at_));
  set_at_ = 0;
}

// Guards against messages over the path's size, which IP would cut into pieces that are lost as one: a record
// that does not fit ends the message before it. A record alone is always under the least size allowed.
void Encoder::append(Seconds now, std::uint16_t set, std::string_view record) {
  const std::size_t needed = record.size() + 4 + 3;  // with a set's header and padding
  if (!message_.bytes.empty() && message_.bytes.size() + needed > settings_.message_bytes) flush(now);
  if (message_.bytes.empty()) message_.bytes = header(now, sequence_);
  if (set_at_ == 0 || set_ != set) {
    close_set();
    set_at_ = message_.bytes.size();
    set_ = set;
    put(message_.bytes, set);
    put(message_.bytes, std::uint16_t{0});
  }
  message_.bytes += record;
  ++records_;
}

void Encoder::flush(Seconds now) {
  if (message_.bytes.empty()) return;
  close_set();
  const bool nine = settings_.version == Version::kNetflow9;
  put_at(message_.bytes, 2, static_cast<std::uint16_t>(nine ? records_ : message_.bytes.size()));
  // NetFlow's times count from when this uptime was 0, which the header tells in whole seconds: so it is
  // taken at the whole second.
  if (nine)
    put_at(message_.bytes, 4, static_cast<std::uint32_t>(milliseconds(std::floor(now) - settings_.started)));
  put_at(message_.bytes, nine ? 8 : 4, whole_seconds(now));
  sequence_ += nine ? 1 : records_;  // RFC 3954, 5.1 counts packets, RFC 7011, 3.1 data records
  message_.next_sequence = sequence_;
  records_ = 0;
  done_(std::exchange(message_, {}));
}

void Encoder::flow(Seconds now, const Record& record) {
  const bool v6 = record.initiator.v6;
  Bytes bytes;
  bytes.all.reserve(200);
  if (settings_.version == Version::kNetflow9) {
    const auto uptime = [&](Seconds at) {
      return static_cast<std::uint32_t>(milliseconds(at - settings_.started));
    };
    flow_fields9(bytes, record, v6, {uptime(record.start), uptime(record.end)});
  } else {
    flow_fields(bytes, record, v6);
  }
  append(now, v6 ? kFlowV6 : kFlowV4, bytes.all);
  ++message_.flows;
  message_.packets += record.delta.packets[kForward] + record.delta.packets[kReverse];
  message_.octets += record.delta.octets[kForward] + record.delta.octets[kReverse];
}

void Encoder::name(Seconds now, NameKind kind, NameNumber number, std::string_view name) {
  Bytes bytes;
  if (settings_.version == Version::kNetflow9) {
    std::string padded(name.substr(0, kName9));
    padded.resize(kName9, '\0');
    name_fields9(bytes, settings_.domain, kind, number, reinterpret_cast<const std::uint8_t*>(padded.data()));
  } else {
    name_fields(bytes, kind, number, name);
  }
  append(now, kNames, bytes.all);
}

void Encoder::not_sent(Seconds now, const Endpoint& collector, const NotSent& totals) {
  if (settings_.version == Version::kNetflow9) return;  // it has no element for this
  Bytes bytes;
  not_sent_fields(bytes, collector, totals);
  append(now, collector.v6 ? kNotSentV6 : kNotSentV4, bytes.all);
}

void Encoder::exporter(Seconds now, std::uint64_t messages, std::uint64_t flows, std::uint64_t octets) {
  if (settings_.version == Version::kNetflow9) return;  // its header tells the uptime
  Bytes bytes;
  exporter_fields(bytes, settings_.domain, settings_.started, messages, flows, octets);
  append(now, kExporterFigures, bytes.all);
}

void Encoder::element_types(Seconds now) {
  if (settings_.version == Version::kNetflow9) return;
  for (const OwnElement& element : kOwnElements) {
    Bytes bytes;
    type_fields(bytes, settings_.enterprise, element);
    append(now, kElementTypes, bytes.all);
  }
}

void Encoder::templates(Seconds now) {
  if (settings_.version != Version::kNetflow9) return;
  const Record record;
  std::uint8_t name[kName9] = {};
  for (const bool v6 : {false, true}) {
    Fields fields(0);
    flow_fields9(fields, record, v6, {0, 0});
    std::string bytes;
    put_template(bytes, v6 ? kFlowV6 : kFlowV4, fields.all, 0);
    append(now, kTemplateSet9, bytes);
  }
  Fields fields(0);
  name_fields9(fields, 0, NameKind::kLocation, {}, name);
  std::string bytes;
  put(bytes, std::uint16_t{kNames});
  put(bytes, std::uint16_t{4});                                         // bytes of the scope's fields
  put(bytes, static_cast<std::uint16_t>(4 * (fields.all.size() - 1)));  // of the others
  for (const Field& field : fields.all) put(bytes, field.id), put(bytes, field.length);
  append(now, kOptionsSet9, bytes);
}

std::string Encoder::session_templates(Seconds now, std::uint32_t sequence) const {
  const TemplateList list = ipfix_templates(settings_.enterprise);
  std::string message = header(now, sequence);
  const auto add = [&](std::uint16_t set, const std::string& records) {
    put(message, set);
    put(message, static_cast<std::uint16_t>(records.size() + 4));
    message += records;
  };
  add(kTemplateSet, list.data);
  add(kOptionsSet, list.options);
  put_at(message, 2, static_cast<std::uint16_t>(message.size()));
  return message;
}

}  // namespace hareramp::ipfix
