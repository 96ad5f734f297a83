#include "flows_tool/rows.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hareramp::flows_tool {

namespace {

constexpr std::size_t kMaxLearntElements = 4096;  // element types, from all exporters together
constexpr std::uint16_t kEnterpriseBase9 =
    57344;  // base number of our elements in NetFlow v9, docs/flow-export.md
constexpr std::array<const char*, 12> kElementNames = {"depotReference",
                                                       "nodeReference",
                                                       "gradeReference",
                                                       "nodePart",
                                                       "requestOutcome",
                                                       "cacheNote",
                                                       "requestDeltaCount",
                                                       "payloadOctetTotalCount",
                                                       "reversePayloadOctetTotalCount",
                                                       "nameReference",
                                                       "nameKind",
                                                       "referenceName"};

// The IANA elements that have a display name; the IANA registry lists all elements.
const std::map<std::uint16_t, const char*> kIana = {{1, "octetDeltaCount"},
                                                    {2, "packetDeltaCount"},
                                                    {4, "protocolIdentifier"},
                                                    {7, "sourceTransportPort"},
                                                    {8, "sourceIPv4Address"},
                                                    {11, "destinationTransportPort"},
                                                    {12, "destinationIPv4Address"},
                                                    {21, "flowEndSysUpTime"},
                                                    {22, "flowStartSysUpTime"},
                                                    {23, "postOctetDeltaCount"},
                                                    {24, "postPacketDeltaCount"},
                                                    {27, "sourceIPv6Address"},
                                                    {28, "destinationIPv6Address"},
                                                    {40, "exportedOctetTotalCount"},
                                                    {41, "exportedMessageTotalCount"},
                                                    {42, "exportedFlowRecordTotalCount"},
                                                    {136, "flowEndReason"},
                                                    {148, "flowId"},
                                                    {149, "observationDomainId"},
                                                    {152, "flowStartMilliseconds"},
                                                    {153, "flowEndMilliseconds"},
                                                    {160, "systemInitTimeMilliseconds"},
                                                    {166, "notSentFlowTotalCount"},
                                                    {167, "notSentPacketTotalCount"},
                                                    {168, "notSentOctetTotalCount"},
                                                    {211, "collectorIPv4Address"},
                                                    {212, "collectorIPv6Address"},
                                                    {216, "collectorTransportPort"},
                                                    {239, "biflowDirection"},
                                                    {303, "informationElementId"},
                                                    {339, "informationElementDataType"},
                                                    {341, "informationElementName"},
                                                    {344, "informationElementSemantics"},
                                                    {345, "informationElementUnits"},
                                                    {346, "privateEnterpriseNumber"},
                                                    {401, "transportOctetDeltaCount"}};

std::uint64_t number_of(const Value& value) { return value.number().value_or(0); }

}  // namespace

std::string address_text(std::string_view bytes) {
  char text[INET6_ADDRSTRLEN] = {};
  if (bytes.size() == 4) inet_ntop(AF_INET, bytes.data(), text, sizeof text);
  if (bytes.size() == 16) inet_ntop(AF_INET6, bytes.data(), text, sizeof text);
  return text;
}

RowBuilder::RowBuilder(std::uint32_t enterprise, RowHandler& handler) : handler_(handler) {
  for (std::size_t i = 0; i < kElementNames.size(); ++i) {
    const auto id = static_cast<std::uint16_t>(i + 1);
    elements_[{enterprise, id, false}] = static_cast<Element>(i);
    elements_[{0, static_cast<std::uint16_t>(kEnterpriseBase9 + id), false}] = static_cast<Element>(i);
  }
}

std::string RowBuilder::element_name(const FieldKey& key) const {
  std::string name;
  if (const auto element = elements_.find(key); element != elements_.end())
    name = kElementNames[static_cast<std::size_t>(element->second)];
  else if (const auto learnt = learnt_names_.find(key); learnt != learnt_names_.end())
    name = learnt->second;
  else if (const auto iana = kIana.find(key.id); key.enterprise == 0 && iana != kIana.end())
    name = iana->second;
  else
    name = key.enterprise ? fmt::format("{}/{}", key.enterprise, key.id) : fmt::format("{}", key.id);
  return key.reverse ? "reverse:" + name : name;
}

// Stores the name that an exporter gives to one of its enterprise elements (RFC 5610, 3.9).
void RowBuilder::learn_element(const std::vector<Value>& values) {
  FieldKey key;
  std::string name;
  for (const Value& value : values) {
    if (value.key == FieldKey{0, 346, false}) key.enterprise = static_cast<std::uint32_t>(number_of(value));
    if (value.key == FieldKey{0, 303, false}) key.id = static_cast<std::uint16_t>(number_of(value) & 0x7fff);
    if (value.key == FieldKey{0, 341, false}) name = std::string(value.bytes.substr(0, 64));
  }
  if (key.enterprise == 0 || name.empty() || learnt_names_.size() >= kMaxLearntElements) return;
  learnt_names_[key] = name;
  const auto known = std::find(kElementNames.begin(), kElementNames.end(), name);
  if (known != kElementNames.end()) elements_[key] = static_cast<Element>(known - kElementNames.begin());
}

void RowBuilder::record(const MessageHeader& header, const std::vector<Value>& values, std::size_t scope) {
  if (scope == 0) return flow(header, values);
  NameRow name;
  NotSentRow not_sent;
  bool is_name = false, is_not_sent = false, is_type = false, is_exporter = false;
  std::uint64_t port = 0, flows = 0, started = 0;
  for (const Value& value : values) {
    if (const auto element = elements_.find(value.key); element != elements_.end()) {
      if (element->second == Element::kNameKind) name.kind = static_cast<int>(number_of(value));
      if (element->second == Element::kNameReference)
        name.number = static_cast<std::uint32_t>(number_of(value));
      if (element->second == Element::kReferenceName) {
        is_name = true;
        name.name = std::string(value.bytes.substr(0, std::min(value.bytes.find('\0'), value.bytes.size())));
      }
      continue;
    }
    if (value.key.enterprise != 0) continue;
    switch (value.key.id) {
      case 211:
      case 212:
        not_sent.collector = address_text(value.bytes);
        break;
      case 216:
        port = number_of(value);
        break;
      case 166:
        is_not_sent = true;
        not_sent.flows = number_of(value);
        break;
      case 167:
        not_sent.packets = number_of(value);
        break;
      case 168:
        not_sent.octets = number_of(value);
        break;
      case 160:
        is_exporter = true;
        started = number_of(value);
        break;
      case 42:
        flows = number_of(value);
        break;
      case 346:
        is_type = true;
        break;
      default:
        break;
    }
  }
  if (is_type) return learn_element(values);
  if (is_name) return handler_.name(header, name);
  if (is_not_sent) {
    not_sent.collector += fmt::format("#{}", port);
    return handler_.not_sent(header, not_sent);
  }
  if (is_exporter) handler_.exporter(header, static_cast<double>(started) / 1000, flows);
}

void RowBuilder::flow(const MessageHeader& header, const std::vector<Value>& values) {
  FlowRow row;
  const double boot_time =
      header.export_time - header.uptime_ms / 1000.0;  // NetFlow's times are relative to it
  for (const Value& value : values) {
    const std::uint64_t number = number_of(value);
    const int direction = value.key.reverse ? 1 : 0;
    if (const auto element = elements_.find(value.key); element != elements_.end()) {
      switch (element->second) {
        case Element::kLocation:
          row.location = static_cast<std::uint32_t>(number);
          break;
        case Element::kNode:
          row.node = static_cast<std::uint32_t>(number);
          break;
        case Element::kRequestClass:
          row.request_class = static_cast<std::uint32_t>(number);
          break;
        case Element::kNodeRole:
          row.node_role = static_cast<int>(number);
          break;
        case Element::kOutcome:
          row.outcome = static_cast<int>(number);
          break;
        case Element::kCacheNote:
          row.answer_detail = static_cast<int>(number);
          break;
        case Element::kRequests:
          row.requests = static_cast<std::uint32_t>(number);
          break;
        case Element::kPayloadTotal:
          row.total[0] = number;
          break;
        case Element::kReversePayloadTotal:
          row.total[1] = number;
          break;
        default:
          break;
      }
      continue;
    }
    if (value.key.enterprise != 0) continue;
    switch (value.key.id) {
      case 148:
        row.id = number;
        break;
      case 8:
      case 27:
        row.initiator = address_text(value.bytes);
        break;
      case 12:
      case 28:
        row.responder = address_text(value.bytes);
        break;
      case 7:
        row.initiator_port = static_cast<std::uint16_t>(number);
        break;
      case 11:
        row.responder_port = static_cast<std::uint16_t>(number);
        break;
      case 152:
        row.start = static_cast<double>(number) / 1000;
        break;
      case 153:
        row.end = static_cast<double>(number) / 1000;
        break;
      case 22:
        row.start = boot_time + static_cast<double>(number) / 1000;
        break;
      case 21:
        row.end = boot_time + static_cast<double>(number) / 1000;
        break;
      case 136:
      case kEnterpriseBase9 + 42:
        row.reason = static_cast<int>(number);
        break;
      case 401:
        row.octets[direction] = number;
        row.has_payload = true;
        break;
      case kEnterpriseBase9 + 40:
        row.octets[0] = number;
        row.has_payload = true;
        break;
      case kEnterpriseBase9 + 41:
        row.octets[1] = number;
        break;
      case 2:
        row.packets[direction] = number;
        break;
      case 24:
        row.packets[1] = number;
        break;
      case 1:
        row.wire[direction] = number;
        break;
      case 23:
        row.wire[1] = number;
        break;
      default:
        break;
    }
  }
  if (!row.has_payload) std::copy(row.wire, row.wire + 2, row.octets);
  handler_.flow(header, row);
}

}  // namespace hareramp::flows_tool
