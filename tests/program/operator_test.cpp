// The operator's file: the shipped example, the schema, and each kind of slip with what is said of it.
#include "program/operator.hpp"

#include <filesystem>

#include "helpers.hpp"
#include "program/config.hpp"

using namespace hareramp;
using program::read_operator;

namespace {
std::string said(const std::string& text) {
  try {
    read_operator(text, "FILE", 192 << 20);
    return "taken\n";
  } catch (const program::BadConfig& error) {
    return std::string(error.what()) + "\n";
  }
}
}  // namespace

TEST_CASE("the shipped example is taken and switches nothing on") {
  const auto file = program::load_operator(std::string(HARERAMP_SOURCE) + "/deploy/operator.json", 192 << 20);
  CHECK_FALSE(file.flow_export.enabled);
  CHECK_FALSE(file.flow_export.spool.enabled);
  CHECK_FALSE(file.change_stream.enabled);
  CHECK_FALSE(file.relay.enabled);
  CHECK(file.flow_export.networks->size() == 2);
  CHECK(file.log_form == LogFormat::kText);
  CHECK(file.flow_export.flows_most == (192u << 20) / 16 / 256);
  CHECK_THROWS_AS(program::load_operator("/nowhere/operator.json", 1 << 20), program::BadConfig);
}

TEST_CASE("slips in the operator's file are named by file, pointer, what is there and what is wanted") {
  std::string trace;
  const std::string start =
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
       start + R"(, "active_timeout_s": 0}})",
       start + R"(, "message_bytes": 70000}})",
       start + R"(, "observation_domain": 1.5}})",
       start + R"(, "networks": [{"prefix": "10.0.0.0/8"}]}})",
       start + R"(, "networks": [{"prefix": "10.0.0.1/8", "depot": "a"}]}})",
       start +
           R"(, "networks": [{"prefix": "10.0.0.0/8", "depot": "a"}, {"prefix": "10.0.0.0/8", "depot": "b"}]}})",
       start + R"(, "spool": {"enabled": true}}})",
       start + R"(, "colectors": []}})",
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
       start + "}}"})
    trace += said(text);
  check_trace("operator_slips", trace);
}
