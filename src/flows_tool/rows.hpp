// Makes rows of the records that a decoder reads: flows, names, what was not sent. Knows the director's own
// elements by the numbers of docs/flow-export.md, and by RFC 5610 records where an exporter tells others.
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
  std::string initiator, responder;  // address as text
  std::uint16_t initiator_port = 0, responder_port = 0;
  double start = 0, end = 0;  // Unix seconds
  int reason = 0, part = 0, outcome = 0, note = 0;
  std::uint32_t location = 0, node = 0, request_class = 0, requests = 0;
  std::uint64_t octets[2] = {0, 0}, packets[2] = {0, 0}, wire[2] = {0, 0}, total[2] = {0, 0};
  bool has_payload = false;  // the exporter tells octets of payload; else those on the wire stand for them
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
  virtual void flow(const MessageHead& head, const FlowRow& row) = 0;
  virtual void name(const MessageHead& head, const NameRow& row) = 0;
  virtual void not_sent(const MessageHead& head, const NotSentRow& row) = 0;
  virtual void exporter(const MessageHead& head, double started, std::uint64_t flows) = 0;
};

class Rows {
 public:
  Rows(std::uint32_t enterprise, RowHandler& handler);
  void record(const MessageHead& head, const std::vector<Value>& values, std::size_t scope);
  // The name of an element as dump shows it: ours, learnt, or its number.
  std::string element_name(const FieldKey& key) const;

 private:
  enum class Own {
    kLocation,
    kNode,
    kRequestClass,
    kPart,
    kOutcome,
    kNote,
    kRequests,
    kTotal,
    kTotalReverse,
    kNumber,
    kKind,
    kName
  };
  void learn(const std::vector<Value>& values);
  void flow(const MessageHead& head, const std::vector<Value>& values);

  RowHandler& handler_;
  std::map<FieldKey, Own> own_;
  std::map<FieldKey, std::string> learnt_;
};

std::string address_text(std::string_view bytes);

}  // namespace hareramp::flows_tool
