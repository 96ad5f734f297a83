// The operator's file: the shipped example, and each kind of error (violations of the schema among them) with
// its message.
#include "program/operator.hpp"

#include <filesystem>

#include "helpers.hpp"
#include "program/config.hpp"

using namespace hareramp;
using program::parse_operator_file;

namespace {
std::string parse_result(const std::string& text) {
  try {
    parse_operator_file(text, "FILE", 192 << 20);
    return "accepted\n";
  } catch (const program::ConfigError& error) {
    return std::string(error.what()) + "\n";
  }
}
}  // namespace

TEST_CASE("the shipped example is valid and enables nothing") {
  const auto file =
      program::load_operator_file(std::string(HARERAMP_SOURCE) + "/deploy/operator.json", 192 << 20);
  CHECK_FALSE(file.flow_export.enabled);
  CHECK_FALSE(file.flow_export.spool.enabled);
  CHECK_FALSE(file.change_stream.enabled);
  CHECK_FALSE(file.relay.enabled);
  CHECK(file.flow_export.networks->size() == 2);
  CHECK(file.log_form == LogFormat::kText);
  CHECK(file.flow_export.max_flows == (192u << 20) / 16 / 256);
  CHECK_THROWS_AS(program::load_operator_file("/nowhere/operator.json", 1 << 20), program::ConfigError);
}

TEST_CASE(
    "errors in the operator's file are reported with file, pointer, what was found and what is wanted") {
  std::string trace;
  const std::string export_start =
      R"({"flow_export": {"enabled": true, "collectors": [{"address": "127.0.0.1:4739"}])";
  for (
      const std::string& text :
      {std::string("{"),
       std::string("[]"),
       std::string(R"({"logs": {}})"),
       std::string(R"({"log": {"level": "loud"}})"),
       std::string(R"({"log": {"level": 3}})"),
       std::string(R"({"flow_export": {}})"),
       std::string(R"({"flow_export": {"enabled": "yes"}})"),
       std::string(R"({"flow_export": {"enabled": true}})"),
       export_start + R"(, "active_timeout_s": 0}})",
       export_start + R"(, "message_bytes": 70000}})",
       export_start + R"(, "observation_domain": 1.5}})",
       export_start + R"(, "networks": [{"prefix": "10.0.0.0/8"}]}})",
       export_start + R"(, "networks": [{"prefix": "10.0.0.1/8", "depot": "a"}]}})",
       export_start +
           R"(, "networks": [{"prefix": "10.0.0.0/8", "depot": "a"}, {"prefix": "10.0.0.0/8", "depot": "b"}]}})",
       export_start + R"(, "spool": {"enabled": true}}})",
       export_start + R"(, "colectors": []}})",
       std::string(R"({"flow_export": {"enabled": true, "collectors": [{"address": "collector:4739"}]}})"),
       std::string(R"({"flow_export": {"enabled": true, "collectors": [{"address": "127.0.0.1:99999"}]}})"),
       std::string(R"({"flow_export": {"enabled": true, "collectors": [{"address": "127.0.0.1:1"},
                        {"address": "127.0.0.1:1"}]}})"),
       std::string(
           R"({"flow_export": {"enabled": true, "collectors": [{"address": "[::1]:1", "transport": "tcp",
                        "protocol": "netflow9"}]}})"),
       std::string(R"({"change_stream": {"enabled": true}})"),
       std::string(R"({"change_stream": {"enabled": true, "relays": ["127.0.0.1:1", "127.0.0.1:1"]}})"),
       std::string(R"({"change_stream": {"enabled": true, "relays": ["relay:1"]}})"),
       std::string(R"({"change_stream": {"enabled": true, "relays": ["127.0.0.1:99999"]}})"),
       std::string(R"({"relay": {"enabled": true, "sources": ["127.0.0.1:1"]}})"),
       std::string(R"({"relay": {"enabled": true, "listen": "127.0.0.1:1"}})"),
       std::string(R"({"relay": {"enabled": false, "tick_s": 5}})"),
       std::string(R"({"change_stream": {"enabled": true, "relays": ["127.0.0.1:1", "[::1]:2"]}})"),
       std::string(R"({"relay": {"enabled": true, "listen": "[::1]:1", "sources": ["127.0.0.1:1"]}})"),
       export_start + "}}"})
    trace += parse_result(text);
  check_trace("operator_slips", trace);
}
