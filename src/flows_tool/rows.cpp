#include "flows_tool/rows.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hareramp::flows_tool {

namespace {

constexpr std::size_t kLearntMost = 4096;  // types of elements, from all exporters
constexpr std::uint16_t kOwn9 = 57344;     // our elements in NetFlow v9, docs/flow-export.md
constexpr std::array<const char*, 12> kOwnNames = {"depotReference",
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

// The IANA elements that dump names; the registry has them all.
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

Rows::Rows(std::uint32_t enterprise, RowHandler& handler) : handler_(handler) {
  for (std::size_t i = 0; i < kOwnNames.size(); ++i) {
    const auto id = static_cast<std::uint16_t>(i + 1);
    own_[{enterprise, id, false}] = static_cast<Own>(i);
    own_[{0, static_cast<std::uint16_t>(kOwn9 + id), false}] = static_cast<Own>(i);
  }
}

std::string Rows::element_name(const FieldKey& key) const {
  std::string name;
  if (const auto own = own_.find(key); own != own_.end())
    name = kOwnNames[static_cast<std::size_t>(own->second)];
  else if (const auto learnt = learnt_.find(key); learnt != learnt_.end())
    name = learnt->second;
  else if (const auto iana = kIana.find(key.id); key.enterprise == 0 && iana != kIana.end())
    name = iana->second;
  else
    name = key.enterprise ? fmt::format("{}/{}", key.enterprise, key.id) : fmt::format("{}", key.id);
  return key.reverse ? "reverse:" + name : name;
}

// RFC 5610, 3.9
void Rows::learn(const std::vector<Value>& values) {
  FieldKey key;
  std::string name;
  for (const Value& value : values) {
    if (value.key == FieldKey{0, 346, false}) key.enterprise = static_cast<std::uint32_t>(number_of(value));
    if (value.key == FieldKey{0, 303, false}) key.id = static_cast<std::uint16_t>(number_of(value) & 0x7fff);
    if (value.key == FieldKey{0, 341, false}) name = std::string(value.bytes.substr(0, 64));
  }
  if (key.enterprise == 0 || name.empty() || learnt_.size() >= kLearntMost) return;
  learnt_[key] = name;
  const auto known = std::find(kOwnNames.begin(), kOwnNames.end(), name);
  if (known != kOwnNames.end()) own_[key] = static_cast<Own>(known - kOwnNames.begin());
}

void Rows::record(const MessageHead& head, const std::vector<Value>& values, std::size_t scope) {
  if (scope == 0) return flow(head, values);
  NameRow name;
  NotSentRow not_sent;
  bool is_name = false, is_not_sent = false, is_type = false, is_exporter = false;
  std::uint64_t port = 0, flows = 0, started = 0;
  for (const Value& value : values) {
    if (const auto own = own_.find(value.key); own != own_.end()) {
      if (own->second == Own::kKind) name.kind = static_cast<int>(number_of(value));
      if (own->second == Own::kNumber) name.number = static_cast<std::uint32_t>(number_of(value));
      if (own->second == Own::kName) {
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
  if (is_type) return learn(values);
  if (is_name) return handler_.name(head, name);
  if (is_not_sent) {
    not_sent.collector += fmt::format("#{}", port);
    return handler_.not_sent(head, not_sent);
  }
  if (is_exporter) handler_.exporter(head, static_cast<double>(started) / 1000, flows);
}

void Rows::flow(const MessageHead& head, const std::vector<Value>& values) {
  FlowRow row;
  const double booted = head.export_time - head.uptime_ms / 1000.0;  // NetFlow's times count from there
  for (const Value& value : values) {
    const std::uint64_t number = number_of(value);
    const int way = value.key.reverse ? 1 : 0;
    if (const auto own = own_.find(value.key); own != own_.end()) {
      switch (own->second) {
        case Own::kLocation:
          row.location = static_cast<std::uint32_t>(number);
          break;
        case Own::kNode:
          row.node = static_cast<std::uint32_t>(number);
          break;
        case Own::kRequestClass:
          row.request_class = static_cast<std::uint32_t>(number);
          break;
        case Own::kPart:
          row.part = static_cast<int>(number);
          break;
        case Own::kOutcome:
          row.outcome = static_cast<int>(number);
          break;
        case Own::kNote:
          row.note = static_cast<int>(number);
          break;
        case Own::kRequests:
          row.requests = static_cast<std::uint32_t>(number);
          break;
        case Own::kTotal:
          row.total[0] = number;
          break;
        case Own::kTotalReverse:
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
        row.start = booted + static_cast<double>(number) / 1000;
        break;
      case 21:
        row.end = booted + static_cast<double>(number) / 1000;
        break;
      case 136:
      case kOwn9 + 42:
        row.reason = static_cast<int>(number);
        break;
      case 401:
        row.octets[way] = number;
        row.has_payload = true;
        break;
      case kOwn9 + 40:
        row.octets[0] = number;
        row.has_payload = true;
        break;
      case kOwn9 + 41:
        row.octets[1] = number;
        break;
      case 2:
        row.packets[way] = number;
        break;
      case 24:
        row.packets[1] = number;
        break;
      case 1:
        row.wire[way] = number;
        break;
      case 23:
        row.wire[1] = number;
        break;
      default:
        break;
    }
  }
  if (!row.has_payload) std::copy(row.wire, row.wire + 2, row.octets);
  handler_.flow(head, row);
}

}  // namespace hareramp::flows_tool
