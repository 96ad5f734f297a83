// What the encoder writes, read by two readers that share nothing with it: libfixbuf and our collector's
// decoder.
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
  Record r;
  r.id = id;
  r.initiator.v6 = r.responder.v6 = v6;
  for (std::size_t i = 0; i < 16; ++i)
    r.initiator.address[i] = static_cast<std::uint8_t>(i + 1),
    r.responder.address[i] = static_cast<std::uint8_t>(0xf0 + i);
  r.initiator.port = 40000, r.responder.port = 443;
  r.node_role = NodeRole::kParent;
  r.node = {0xfedcba98u};
  r.label = {{11}, {22}, Outcome::kFailed, 7};
  r.start = 1796147672.125, r.end = 1796147680.5;
  r.delta.octets = {1, 0x123456789abcull}, r.delta.packets = {2, 3}, r.delta.wire = {4, 5};
  r.total.octets = {0xffffffffffffull, 6};
  r.requests = 9;
  r.reason = EndReason::kLackOfResources;
  return r;
}

struct Read : flows_tool::Reader, flows_tool::RowHandler {
  flows_tool::Rows rows{32473, *this};
  std::vector<flows_tool::FlowRow> flows;
  std::map<std::pair<int, std::uint32_t>, std::string> names;
  std::string trace;
  bool message(const flows_tool::MessageHead&) override { return true; }
  void record(const flows_tool::MessageHead& head, std::uint16_t,
              const std::vector<flows_tool::Value>& values, std::size_t scope) override {
    rows.record(head, values, scope);
  }
  void message_ends(const flows_tool::MessageHead&) override {}
  void flow(const flows_tool::MessageHead&, const flows_tool::FlowRow& row) override { flows.push_back(row); }
  void name(const flows_tool::MessageHead&, const flows_tool::NameRow& row) override {
    names[{row.kind, row.number}] = row.name;
  }
  void not_sent(const flows_tool::MessageHead&, const flows_tool::NotSentRow& row) override {
    trace += fmt::format("not sent to {}: {} flows, {} packets, {} octets\n", row.collector, row.flows,
                         row.packets, row.octets);
  }
  void exporter(const flows_tool::MessageHead&, double started, std::uint64_t flows_told) override {
    trace += fmt::format("exporter since {:.3f}, {} flows\n", started, flows_told);
  }
};

std::string text(const flows_tool::FlowRow& r) {
  return fmt::format(
      "{} {}:{} -> {}:{} {:.3f} {:.3f} reason {} part {} outcome {} note {} depot {} node {} grade {} "
      "requests "
      "{} octets "
      "{}/{} packets {}/{} wire {}/{} total {}/{}\n",
      r.id, r.initiator, r.initiator_port, r.responder, r.responder_port, r.start, r.end, r.reason, r.part,
      r.outcome, r.note, r.location, r.node, r.request_class, r.requests, r.octets[0], r.octets[1],
      r.packets[0], r.packets[1], r.wire[0], r.wire[1], r.total[0], r.total[1]);
}

EncoderSettings settings(Version version, std::size_t bytes = 1400) {
  EncoderSettings made;
  made.version = version;
  made.domain = 77, made.enterprise = 32473, made.message_bytes = bytes;
  made.started = 1796147000.25;
  return made;
}

constexpr double kNow = 1796147690.75;

}  // namespace

TEST_CASE("a record comes through IPFIX and NetFlow v9 field by field, for IPv4 and IPv6") {
  std::string trace;
  for (const Version version : {Version::kIpfix, Version::kNetflow9}) {
    std::vector<Message> messages;
    Encoder encoder(settings(version), [&](Message message) { messages.push_back(std::move(message)); });
    encoder.element_types(kNow);
    encoder.templates(kNow);
    for (const bool v6 : {false, true, false}) encoder.flow(kNow, sample(5, v6));
    encoder.name(kNow, NameKind::kRequestClass, {11}, "scan-batches");
    encoder.name(kNow, NameKind::kLocation, {22}, "north");
    Endpoint to;
    to.address = {127, 0, 0, 1}, to.port = 4739;
    encoder.not_sent(kNow, to, {1, 2, 3});
    encoder.exporter(kNow, 4, 5, 6);
    encoder.flush(kNow);
    Read read;
    flows_tool::Decoder decoder({}, read);
    if (version == Version::kIpfix)
      CHECK(decoder.message("s", encoder.session_templates(kNow, Encoder::sequence_of(messages[0].bytes))));
    for (const Message& message : messages) CHECK(decoder.message("s", message.bytes));
    for (const auto& row : read.flows) trace += text(row);
    trace += read.trace;
    CHECK(read.names[{3, 11}] == "scan-batches");
    CHECK(read.names[{1, 22}] == "north");
    CHECK(decoder.counts().lost + decoder.counts().no_template + decoder.counts().bad_set == 0);
    CHECK(messages[0].flows == 3);
    CHECK(messages[0].packets == 15);
    CHECK(messages[0].octets == 3 * (1 + 0x123456789abcull));
  }
  check_trace("flow_records", trace);
}

TEST_CASE("messages keep to their size, and their numbers run on") {
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
      Read read;
      flows_tool::Decoder decoder({}, read);
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
      CHECK(read.flows.size() == 500);
      CHECK(decoder.counts().lost + decoder.counts().out_of_order == 0);
      CHECK(messages.back().next_sequence == encoder.sequence());
    }
  }
}

namespace {

// The fields of our flow records as libfixbuf is to lay them out.
struct Laid {
  std::uint64_t flowId, flowStartMilliseconds, flowEndMilliseconds, octets, reverse_octets, packets,
      reverse_packets;
  std::uint32_t sourceIPv4Address, destinationIPv4Address, request_class;
  std::uint16_t sourceTransportPort, destinationTransportPort;
  std::uint8_t flowEndReason, outcome, padding[2];
};

fbInfoElementSpec_t laid_fields[] = {{const_cast<char*>("flowId"), 8, 0},
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

TEST_CASE("libfixbuf reads the same") {
  std::vector<Message> messages;
  Encoder encoder(settings(Version::kIpfix),
                  [&](Message message) { messages.push_back(std::move(message)); });
  for (std::uint64_t i = 0; i < 3; ++i) encoder.flow(kNow, sample(i + 1, false));
  encoder.flush(kNow);

  fbInfoModel_t* model = fbInfoModelAlloc();
  fbInfoElement_t own[] = {FB_IE_INIT("gradeReference", 32473, 3, 4, FB_IE_F_ENDIAN),
                           FB_IE_INIT("requestOutcome", 32473, 5, 1, FB_IE_F_ENDIAN), FB_IE_NULL};
  fbInfoModelAddElementArray(model, own);
  GError* error = nullptr;
  fbTemplate_t* laid = fbTemplateAlloc(model);
  REQUIRE(fbTemplateAppendSpecArray(laid, laid_fields, 0xffffffff, &error));
  fbSession_t* session = fbSessionAlloc(model);
  REQUIRE(fbSessionAddTemplate(session, TRUE, 1000, laid, &error) != 0);
  fBuf_t* buffer = fBufAllocForCollection(session, nullptr);
  std::string bytes = encoder.session_templates(kNow, 0) + messages[0].bytes;
  auto* at = reinterpret_cast<std::uint8_t*>(bytes.data());
  std::string trace;
  for (std::size_t done = 0; done < bytes.size();) {
    const std::size_t length = static_cast<std::size_t>(at[done + 2]) << 8 | at[done + 3];
    fBufSetBuffer(buffer, at + done, length);
    REQUIRE(fBufSetInternalTemplate(buffer, 1000, &error));
    Laid row{};
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
