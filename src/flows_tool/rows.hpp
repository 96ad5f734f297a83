// Converts decoded records into rows: flows, names, and totals of what was not sent. The director's
// enterprise elements are recognized by the numbers in docs/flow-export.md, or by name where an exporter
// declares other numbers in RFC 5610 records.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "flows_tool/decoder.hpp"

namespace hareramp::flows_tool {

struct FlowRow {
  std::uint64_t id = 0;
  std::string initiator, responder;  // addresses as text
  std::uint16_t initiator_port = 0, responder_port = 0;
  double start = 0, end = 0;  // Unix seconds
  int reason = 0, node_role = 0, outcome = 0, answer_detail = 0;
  std::uint32_t location = 0, node = 0, request_class = 0, requests = 0;
  std::uint64_t octets[2] = {0, 0}, packets[2] = {0, 0}, wire[2] = {0, 0}, total[2] = {0, 0};
  // The exporter reports payload octets. If not, octets is a copy of wire.
  bool has_payload = false;
};

struct NameRow {
  int kind = 0;
  std::uint32_t number = 0;
  std::string name;
};

struct NotSentRow {
  std::string collector;
  std::uint64_t flows = 0, packets = 0, octets = 0;
};

class RowHandler {
 public:
  virtual ~RowHandler() = default;
  virtual void flow(const MessageHeader& header, const FlowRow& row) = 0;
  virtual void name(const MessageHeader& header, const NameRow& row) = 0;
  virtual void not_sent(const MessageHeader& header, const NotSentRow& row) = 0;
  virtual void exporter(const MessageHeader& header, double started, std::uint64_t flows) = 0;
};

class RowBuilder {
 public:
  RowBuilder(std::uint32_t enterprise, RowHandler& handler);
  void record(const MessageHeader& header, const std::vector<Value>& values, std::size_t scope);
  // The display name of an element: that of a hareramp element, one learnt from RFC 5610 records, or that of
  // an IANA element; failing these, its number.
  std::string element_name(const FieldKey& key) const;

 private:
  enum class Element {
    kLocation,
    kNode,
    kRequestClass,
    kNodeRole,
    kOutcome,
    kCacheNote,
    kRequests,
    kPayloadTotal,
    kReversePayloadTotal,
    kNameReference,
    kNameKind,
    kReferenceName
  };
  void learn_element(const std::vector<Value>& values);
  void flow(const MessageHeader& header, const std::vector<Value>& values);

  RowHandler& handler_;
  std::map<FieldKey, Element> elements_;
  std::map<FieldKey, std::string> learnt_names_;
};

std::string address_text(std::string_view bytes);

}  // namespace hareramp::flows_tool
