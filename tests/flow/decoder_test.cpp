// Tests of the collector's decoder with faulty exporters: truncated messages, wrong lengths, templates that
// change, and more sessions and templates than the bounds allow.
#include "flows_tool/decoder.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <random>

#include "flows_tool/rows.hpp"
#include "ipfix/encoder.hpp"
#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::flows_tool;

namespace {

struct CountingHandler : DecoderHandler {
  std::uint64_t records = 0, bytes = 0;
  bool message(const MessageHeader&) override { return true; }
  void record(const MessageHeader&, std::uint16_t, const std::vector<Value>& values, std::size_t) override {
    ++records;
    for (const Value& value : values) bytes += value.bytes.size();
  }
  void message_end(const MessageHeader&) override {}
};

std::string from_hex(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size();) {
    if (digits[i] == ' ') {
      ++i;
      continue;
    }
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    i += 2;
  }
  return bytes;
}

// An IPFIX message of domain 1 that contains the sets given in hexadecimal, with the correct length.
std::string message(std::uint32_t sequence, const std::string& sets, const char* version = "000a") {
  const std::string body = from_hex(sets);
  return from_hex(fmt::format("{}{:04x}6b0f5c00{:08x}00000001", version, body.size() + 16, sequence)) + body;
}

std::string describe(const DecoderCounts& decoder_counts) {
  return fmt::format(
      "records {} templates {} withdrawn {} redefined {} no_template {} lost {} out_of_order {} restarts {} "
      "| version "
      "{} length {} set {} template {} record {} too_many {}",
      decoder_counts.records, decoder_counts.templates, decoder_counts.withdrawn, decoder_counts.redefined,
      decoder_counts.no_template, decoder_counts.lost, decoder_counts.out_of_order, decoder_counts.restarts,
      decoder_counts.bad_version, decoder_counts.bad_length, decoder_counts.bad_set,
      decoder_counts.bad_template, decoder_counts.bad_record, decoder_counts.too_many);
}

// Template 256: sourceTransportPort, then a variable-length string.
constexpr const char* kTemplate = "0002 0010 0100 0002 0007 0002 0052 ffff";

std::vector<std::string> valid_messages(ipfix::Version version) {
  std::vector<std::string> messages;
  ipfix::EncoderSettings settings;
  settings.version = version, settings.enterprise = 32473;
  ipfix::Encoder encoder(settings, [&](ipfix::Message made) { messages.push_back(std::move(made.bytes)); });
  if (version == ipfix::Version::kIpfix) messages.push_back(encoder.session_templates(1.8e9, 0));
  encoder.templates(1.8e9);
  encoder.element_types(1.8e9);
  for (std::uint64_t i = 0; i < 20; ++i) {
    ipfix::Record record;
    record.id = i;
    record.initiator.v6 = i % 2 == 0;
    encoder.flow(1.8e9, record);
    encoder.name(1.8e9, ipfix::NameKind::kNode, {1}, "node");
  }
  encoder.flush(1.8e9);
  return messages;
}

}  // namespace

TEST_CASE("each kind of bad message has a counter, and the messages after it are decoded where possible") {
  std::string trace;
  const auto trace_case = [&](const char* title, std::initializer_list<std::string> messages) {
    CountingHandler handler;
    Decoder decoder({}, handler);
    std::string results;
    for (const std::string& message_bytes : messages)
      results += decoder.message("s", message_bytes) ? "+" : "-";
    trace += fmt::format("{}: {} {}\n", title, results, describe(decoder.counts()));
  };
  const std::string template_message = message(0, kTemplate);
  trace_case("template and data", {template_message, message(0, "0100 000c 1f90 0361 6263 0000")});
  trace_case("text with a 3-byte length", {template_message, message(0, "0100 000c 1f90 ff00 0361 6263")});
  trace_case("text longer than the set", {template_message, message(0, "0100 000c 1f90 ff61 6263 6465")});
  trace_case("data before its template",
             {message(0, "0100 0008 1f90 0161"), template_message, message(9, "0100 0008 1f90 0161")});
  trace_case("gap of five records",
             {template_message, message(0, "0100 0008 1f90 0161"), message(6, "0100 0008 1f90 0161")});
  trace_case("sequence number repeated",
             {template_message, message(5000, "0100 0008 1f90 0161"), message(5000, "0100 0008 1f90 0161")});
  trace_case("sequence restarted at 0",
             {template_message, message(5000, "0100 0008 1f90 0161"), message(0, "0100 0008 1f90 0161")});
  trace_case("template withdrawn",
             {template_message, message(0, "0002 0008 0100 0000"), message(0, "0100 0008 1f90 0161")});
  trace_case("all templates withdrawn",
             {template_message, message(0, "0002 0008 0002 0000"), message(0, "0100 0008 1f90 0161")});
  trace_case("template redefined", {template_message, message(0, "0002 000c 0100 0001 0007 0002"),
                                    message(0, "0100 0008 1f90 0161")});
  trace_case("template with a record length of 0", {message(0, "0002 000c 0100 0001 0007 0000")});
  trace_case("template ID below 256", {message(0, "0002 000c 00ff 0001 0007 0002")});
  trace_case("truncated template", {message(0, "0002 000c 0100 0009 0007 0002")});
  trace_case("options without scope", {message(0, "0003 000e 0100 0001 0000 0007 0002")});
  trace_case("more scope fields than fields", {message(0, "0003 000e 0100 0001 0002 0007 0002")});
  trace_case("set of length 3", {message(0, "0100 0003")});
  trace_case("set longer than the message", {message(0, "0100 00ff 1f90")});
  trace_case("reserved set ID", {message(0, "0005 0008 1f90 0161")});
  trace_case("version 11", {message(0, kTemplate, "000b")});
  trace_case("truncated header", {template_message.substr(0, 15)});
  std::string wrong_length = template_message;
  wrong_length[3] = static_cast<char>(wrong_length[3] + 1);
  trace_case("length larger than the message", {wrong_length});
  check_trace("flow_bad_messages", trace);
}

TEST_CASE("valid messages truncated at or corrupted in any byte are at worst refused") {
  for (const auto version : {ipfix::Version::kIpfix, ipfix::Version::kNetflow9}) {
    const auto valid = valid_messages(version);
    std::mt19937 generator(7);
    for (const std::string& message_bytes : valid) {
      for (std::size_t i = 0; i < message_bytes.size(); ++i) {
        CountingHandler handler;
        Decoder decoder({}, handler);
        decoder.message("s", valid[0]);
        decoder.message("s", message_bytes.substr(0, i));
        std::string corrupted = message_bytes;
        corrupted[i] = static_cast<char>(generator());
        decoder.message("s", corrupted);
        CHECK(handler.records <= 2000);
        CHECK(decoder.sessions() <= 3);
      }
    }
  }
}

TEST_CASE("thousands of exporters and templates stay within the decoder's bounds") {
  CountingHandler handler;
  DecoderBounds bounds;
  bounds.sessions = 100, bounds.templates = 8, bounds.total_fields = 300;
  Decoder decoder(bounds, handler);
  for (int i = 0; i < 5000; ++i) {
    CHECK(decoder.message(fmt::format("exporter {}", i), message(0, kTemplate)));
    CHECK(decoder.sessions() <= 100);
  }
  CHECK(decoder.counts().sessions_forgotten == 4900);
  CHECK(decoder.message("exporter 4999", message(0, "0100 0008 1f90 0161")));
  CHECK(decoder.counts().no_template == 0);
  CHECK(decoder.message("exporter 1", message(0, "0100 0008 1f90 0161")));
  CHECK(decoder.counts().no_template == 1);
  for (int id = 256; id < 400; ++id)
    decoder.message("greedy", message(0, fmt::format("0002 000c {:04x} 0001 0007 0002", id)));
  CHECK(decoder.counts().too_many == 144 - 8);
  decoder.session_ended("greedy");
  CHECK(decoder.message("greedy", message(0, "0002 000c 0100 0001 0007 0002")));
}

// The corpus holds the fuzzer's seeds and the inputs that it found; see tests/flow/fuzz.cpp.
TEST_CASE("the fuzzer's corpus is decoded without a crash") {
  std::size_t files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(HARERAMP_SOURCE) + "/tests/flow/corpus")) {
    std::ifstream file(entry.path(), std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    CountingHandler handler;
    Decoder decoder({}, handler);
    decoder.message("s", bytes.str());
    decoder.message("s", bytes.str());
    ++files;
  }
  CHECK(files > 0);
}
