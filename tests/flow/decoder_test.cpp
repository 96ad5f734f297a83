// The collector's decoder against what exporters do wrong: cut and lying messages, templates that change, and
// more of everything than there is room for.
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

struct Count : Reader {
  std::uint64_t records = 0, bytes = 0;
  bool message(const MessageHead&) override { return true; }
  void record(const MessageHead&, std::uint16_t, const std::vector<Value>& values, std::size_t) override {
    ++records;
    for (const Value& value : values) bytes += value.bytes.size();
  }
  void message_ends(const MessageHead&) override {}
};

std::string hex(const std::string& digits) {
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

// An IPFIX message of domain 1 around sets, its length right.
std::string message(std::uint32_t sequence, const std::string& sets, const char* version = "000a") {
  const std::string body = hex(sets);
  return hex(fmt::format("{}{:04x}6b0f5c00{:08x}00000001", version, body.size() + 16, sequence)) + body;
}

std::string told(const DecoderCounts& c) {
  return fmt::format(
      "records {} templates {} withdrawn {} redefined {} no_template {} lost {} out_of_order {} restarts {} "
      "| version "
      "{} length {} set {} template {} record {} too_many {}",
      c.records, c.templates, c.withdrawn, c.redefined, c.no_template, c.lost, c.out_of_order, c.restarts,
      c.bad_version, c.bad_length, c.bad_set, c.bad_template, c.bad_record, c.too_many);
}

// Template 256: sourceTransportPort, then a text of a length told in the record.
constexpr const char* kTemplate = "0002 0010 0100 0002 0007 0002 0052 ffff";

std::vector<std::string> good_messages(ipfix::Version version) {
  std::vector<std::string> all;
  ipfix::EncoderSettings settings;
  settings.version = version, settings.enterprise = 32473;
  ipfix::Encoder encoder(settings, [&](ipfix::Message made) { all.push_back(std::move(made.bytes)); });
  if (version == ipfix::Version::kIpfix) all.push_back(encoder.session_templates(1.8e9, 0));
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
  return all;
}

}  // namespace

TEST_CASE("each kind of bad message has a counter, and what follows is still read") {
  std::string trace;
  const auto see = [&](const char* what, std::initializer_list<std::string> messages) {
    Count count;
    Decoder decoder({}, count);
    std::string kept;
    for (const std::string& one : messages) kept += decoder.message("s", one) ? "+" : "-";
    trace += fmt::format("{}: {} {}\n", what, kept, told(decoder.counts()));
  };
  const std::string learn = message(0, kTemplate);
  see("template and data", {learn, message(0, "0100 000c 1f90 0361 6263 0000")});
  see("long text", {learn, message(0, "0100 000c 1f90 ff00 0361 6263")});
  see("text longer than the set", {learn, message(0, "0100 000c 1f90 ff61 6263 6465")});
  see("data before its template",
      {message(0, "0100 0008 1f90 0161"), learn, message(9, "0100 0008 1f90 0161")});
  see("gap of five", {learn, message(0, "0100 0008 1f90 0161"), message(6, "0100 0008 1f90 0161")});
  see("back by one", {learn, message(5000, "0100 0008 1f90 0161"), message(5000, "0100 0008 1f90 0161")});
  see("counted from the start again",
      {learn, message(5000, "0100 0008 1f90 0161"), message(0, "0100 0008 1f90 0161")});
  see("withdrawn", {learn, message(0, "0002 0008 0100 0000"), message(0, "0100 0008 1f90 0161")});
  see("all withdrawn", {learn, message(0, "0002 0008 0002 0000"), message(0, "0100 0008 1f90 0161")});
  see("redefined", {learn, message(0, "0002 000c 0100 0001 0007 0002"), message(0, "0100 0008 1f90 0161")});
  see("template of no bytes", {message(0, "0002 000c 0100 0001 0007 0000")});
  see("template number below 256", {message(0, "0002 000c 00ff 0001 0007 0002")});
  see("template cut", {message(0, "0002 000c 0100 0009 0007 0002")});
  see("options without scope", {message(0, "0003 000e 0100 0001 0000 0007 0002")});
  see("more scope than fields", {message(0, "0003 000e 0100 0001 0002 0007 0002")});
  see("set of length 3", {message(0, "0100 0003")});
  see("set past the end", {message(0, "0100 00ff 1f90")});
  see("reserved set", {message(0, "0005 0008 1f90 0161")});
  see("version 11", {message(0, kTemplate, "000b")});
  see("cut head", {learn.substr(0, 15)});
  std::string lie = learn;
  lie[3] = static_cast<char>(lie[3] + 1);
  see("length that lies", {lie});
  check_trace("flow_bad_messages", trace);
}

TEST_CASE("good messages torn at every byte and bent at every byte are never more than refused") {
  for (const auto version : {ipfix::Version::kIpfix, ipfix::Version::kNetflow9}) {
    const auto good = good_messages(version);
    std::mt19937 chance(7);
    for (const std::string& one : good) {
      for (std::size_t i = 0; i < one.size(); ++i) {
        Count count;
        Decoder decoder({}, count);
        decoder.message("s", good[0]);
        decoder.message("s", one.substr(0, i));
        std::string bent = one;
        bent[i] = static_cast<char>(chance());
        decoder.message("s", bent);
        CHECK(count.records <= 2000);
        CHECK(decoder.sessions() <= 3);
      }
    }
  }
}

TEST_CASE("thousands of exporters and templates stay within their bounds") {
  Count count;
  DecoderBounds bounds;
  bounds.sessions = 100, bounds.templates = 8, bounds.all_fields = 300;
  Decoder decoder(bounds, count);
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

// What the fuzzer found, and the seeds it began with; see tests/flow/fuzz.cpp.
TEST_CASE("the kept corpus is read without harm") {
  std::size_t files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(HARERAMP_SOURCE) + "/tests/flow/corpus")) {
    std::ifstream file(entry.path(), std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    Count count;
    Decoder decoder({}, count);
    decoder.message("s", bytes.str());
    decoder.message("s", bytes.str());
    ++files;
  }
  CHECK(files > 0);
}
