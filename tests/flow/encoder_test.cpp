// Tests of the encoder: its messages are decoded by two implementations that share no code with it, libfixbuf
// and the collector's decoder.
#include "ipfix/encoder.hpp"

#include <fixbuf/public.h>
#include <fmt/format.h>

#include <cstring>
#include <map>
#include <vector>

#include "flows_tool/decoder.hpp"
#include "flows_tool/rows.hpp"
#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::ipfix;

namespace {

Record sample(std::uint64_t id, bool v6) {
  Record record;
  record.id = id;
  record.initiator.v6 = record.responder.v6 = v6;
  for (std::size_t i = 0; i < 16; ++i)
    record.initiator.address[i] = static_cast<std::uint8_t>(i + 1),
    record.responder.address[i] = static_cast<std::uint8_t>(0xf0 + i);
  record.initiator.port = 40000, record.responder.port = 443;
  record.node_role = NodeRole::kParent;
  record.node = {0xfedcba98u};
  record.label = {{11}, {22}, Outcome::kFailed, 7};
  record.start = 1796147672.125, record.end = 1796147680.5;
  record.delta.octets = {1, 0x123456789abcull}, record.delta.packets = {2, 3}, record.delta.wire = {4, 5};
  record.total.octets = {0xffffffffffffull, 6};
  record.requests = 9;
  record.reason = EndReason::kLackOfResources;
  return record;
}

struct RowRecorder : flows_tool::DecoderHandler, flows_tool::RowHandler {
  flows_tool::RowBuilder rows{32473, *this};
  std::vector<flows_tool::FlowRow> flows;
  std::map<std::pair<int, std::uint32_t>, std::string> names;
  std::string trace;
  bool message(const flows_tool::MessageHeader&) override { return true; }
  void record(const flows_tool::MessageHeader& header, std::uint16_t,
              const std::vector<flows_tool::Value>& values, std::size_t scope) override {
    rows.record(header, values, scope);
  }
  void message_end(const flows_tool::MessageHeader&) override {}
  void flow(const flows_tool::MessageHeader&, const flows_tool::FlowRow& row) override {
    flows.push_back(row);
  }
  void name(const flows_tool::MessageHeader&, const flows_tool::NameRow& row) override {
    names[{row.kind, row.number}] = row.name;
  }
  void not_sent(const flows_tool::MessageHeader&, const flows_tool::NotSentRow& row) override {
    trace += fmt::format("not sent to {}: {} flows, {} packets, {} octets\n", row.collector, row.flows,
                         row.packets, row.octets);
  }
  void exporter(const flows_tool::MessageHeader&, double started, std::uint64_t reported_flows) override {
    trace += fmt::format("exporter since {:.3f}, {} flows\n", started, reported_flows);
  }
};

std::string text(const flows_tool::FlowRow& row) {
  return fmt::format(
      "{} {}:{} -> {}:{} {:.3f} {:.3f} reason {} part {} outcome {} note {} depot {} node {} grade {} "
      "requests "
      "{} octets "
      "{}/{} packets {}/{} wire {}/{} total {}/{}\n",
      row.id, row.initiator, row.initiator_port, row.responder, row.responder_port, row.start, row.end,
      row.reason, row.node_role, row.outcome, row.answer_detail, row.location, row.node, row.request_class,
      row.requests, row.octets[0], row.octets[1], row.packets[0], row.packets[1], row.wire[0], row.wire[1],
      row.total[0], row.total[1]);
}

EncoderSettings settings(Version version, std::size_t bytes = 1400) {
  EncoderSettings encoder_settings;
  encoder_settings.version = version;
  encoder_settings.domain = 77, encoder_settings.enterprise = 32473, encoder_settings.message_bytes = bytes;
  encoder_settings.started = 1796147000.25;
  return encoder_settings;
}

constexpr double kNow = 1796147690.75;

}  // namespace

TEST_CASE("each field of a record survives IPFIX and NetFlow v9, for IPv4 and IPv6") {
  std::string trace;
  for (const Version version : {Version::kIpfix, Version::kNetflow9}) {
    std::vector<Message> messages;
    Encoder encoder(settings(version), [&](Message message) { messages.push_back(std::move(message)); });
    encoder.element_types(kNow);
    encoder.templates(kNow);
    for (const bool v6 : {false, true, false}) encoder.flow(kNow, sample(5, v6));
    encoder.name(kNow, NameKind::kRequestClass, {11}, "scan-batches");
    encoder.name(kNow, NameKind::kLocation, {22}, "north");
    Endpoint collector;
    collector.address = {127, 0, 0, 1}, collector.port = 4739;
    encoder.not_sent(kNow, collector, {1, 2, 3});
    encoder.exporter(kNow, 4, 5, 6);
    encoder.flush(kNow);
    RowRecorder recorder;
    flows_tool::Decoder decoder({}, recorder);
    if (version == Version::kIpfix)
      CHECK(decoder.message("s", encoder.session_templates(kNow, Encoder::sequence_of(messages[0].bytes))));
    for (const Message& message : messages) CHECK(decoder.message("s", message.bytes));
    for (const auto& row : recorder.flows) trace += text(row);
    trace += recorder.trace;
    CHECK(recorder.names[{3, 11}] == "scan-batches");
    CHECK(recorder.names[{1, 22}] == "north");
    CHECK(decoder.counts().lost + decoder.counts().no_template + decoder.counts().bad_set == 0);
    CHECK(messages[0].flows == 3);
    CHECK(messages[0].packets == 15);
    CHECK(messages[0].octets == 3 * (1 + 0x123456789abcull));
  }
  check_trace("flow_records", trace);
}

TEST_CASE("messages stay within their maximum size, and their sequence numbers have no gaps") {
  for (const Version version : {Version::kIpfix, Version::kNetflow9}) {
    for (const std::size_t bytes : {1024u, 1400u, 9000u}) {
      std::vector<Message> messages;
      Encoder encoder(settings(version, bytes),
                      [&](Message message) { messages.push_back(std::move(message)); });
      encoder.templates(kNow);
      for (std::uint64_t i = 0; i < 500; ++i) {
        encoder.flow(kNow, sample(i, i % 3 == 0));
        if (i % 10 == 0)
          encoder.name(kNow, NameKind::kNode, {static_cast<std::uint32_t>(i + 1)}, std::string(60, 'n'));
      }
      encoder.flush(kNow);
      RowRecorder recorder;
      flows_tool::Decoder decoder({}, recorder);
      if (version == Version::kIpfix) {
        const std::string templates = encoder.session_templates(kNow, 0);
        CHECK(templates.size() <= 1024);
        CHECK(decoder.message("s", templates));
      }
      std::uint64_t flows = 0;
      for (const Message& message : messages) {
        CHECK(message.bytes.size() <= bytes);
        flows += message.flows;
        CHECK(decoder.message("s", message.bytes));
      }
      CHECK(flows == 500);
      CHECK(recorder.flows.size() == 500);
      CHECK(decoder.counts().lost + decoder.counts().out_of_order == 0);
      CHECK(messages.back().next_sequence == encoder.sequence());
    }
  }
}

namespace {

// The layout in which libfixbuf returns the fields of a flow record.
struct FixbufRecord {
  std::uint64_t flowId, flowStartMilliseconds, flowEndMilliseconds, octets, reverse_octets, packets,
      reverse_packets;
  std::uint32_t sourceIPv4Address, destinationIPv4Address, request_class;
  std::uint16_t sourceTransportPort, destinationTransportPort;
  std::uint8_t flowEndReason, outcome, padding[2];
};

fbInfoElementSpec_t fixbuf_fields[] = {{const_cast<char*>("flowId"), 8, 0},
                                       {const_cast<char*>("flowStartMilliseconds"), 8, 0},
                                       {const_cast<char*>("flowEndMilliseconds"), 8, 0},
                                       {const_cast<char*>("transportOctetDeltaCount"), 8, 0},
                                       {const_cast<char*>("reverseTransportOctetDeltaCount"), 8, 0},
                                       {const_cast<char*>("packetDeltaCount"), 8, 0},
                                       {const_cast<char*>("reversePacketDeltaCount"), 8, 0},
                                       {const_cast<char*>("sourceIPv4Address"), 4, 0},
                                       {const_cast<char*>("destinationIPv4Address"), 4, 0},
                                       {const_cast<char*>("gradeReference"), 4, 0},
                                       {const_cast<char*>("sourceTransportPort"), 2, 0},
                                       {const_cast<char*>("destinationTransportPort"), 2, 0},
                                       {const_cast<char*>("flowEndReason"), 1, 0},
                                       {const_cast<char*>("requestOutcome"), 1, 0},
                                       {const_cast<char*>("paddingOctets"), 2, 0},
                                       {nullptr, 0, 0}};

}  // namespace

TEST_CASE("libfixbuf decodes the encoded records with the same values") {
  std::vector<Message> messages;
  Encoder encoder(settings(Version::kIpfix),
                  [&](Message message) { messages.push_back(std::move(message)); });
  for (std::uint64_t i = 0; i < 3; ++i) encoder.flow(kNow, sample(i + 1, false));
  encoder.flush(kNow);

  fbInfoModel_t* model = fbInfoModelAlloc();
  fbInfoElement_t enterprise_elements[] = {FB_IE_INIT("gradeReference", 32473, 3, 4, FB_IE_F_ENDIAN),
                                           FB_IE_INIT("requestOutcome", 32473, 5, 1, FB_IE_F_ENDIAN),
                                           FB_IE_NULL};
  fbInfoModelAddElementArray(model, enterprise_elements);
  GError* error = nullptr;
  fbTemplate_t* record_template = fbTemplateAlloc(model);
  REQUIRE(fbTemplateAppendSpecArray(record_template, fixbuf_fields, 0xffffffff, &error));
  fbSession_t* session = fbSessionAlloc(model);
  REQUIRE(fbSessionAddTemplate(session, TRUE, 1000, record_template, &error) != 0);
  fBuf_t* buffer = fBufAllocForCollection(session, nullptr);
  std::string bytes = encoder.session_templates(kNow, 0) + messages[0].bytes;
  auto* raw = reinterpret_cast<std::uint8_t*>(bytes.data());
  std::string trace;
  for (std::size_t done = 0; done < bytes.size();) {
    const std::size_t length = static_cast<std::size_t>(raw[done + 2]) << 8 | raw[done + 3];
    fBufSetBuffer(buffer, raw + done, length);
    REQUIRE(fBufSetInternalTemplate(buffer, 1000, &error));
    FixbufRecord row{};
    std::size_t size = sizeof row;
    while (fBufNext(buffer, reinterpret_cast<std::uint8_t*>(&row), &size, &error)) {
      trace += fmt::format("{} {:x}:{} {:x}:{} {} {} {} {} {} {} grade {} reason {} outcome {}\n", row.flowId,
                           row.sourceIPv4Address, row.sourceTransportPort, row.destinationIPv4Address,
                           row.destinationTransportPort, row.flowStartMilliseconds, row.flowEndMilliseconds,
                           row.octets, row.reverse_octets, row.packets, row.reverse_packets,
                           row.request_class, row.flowEndReason, row.outcome);
      size = sizeof row;
    }
    CHECK_MESSAGE(fBufRemaining(buffer) == 0, std::string(error->message));
    g_clear_error(&error);
    done += length;
  }
  fBufFree(buffer);
  fbInfoModelFree(model);
  check_trace("flow_libfixbuf", trace);
}
