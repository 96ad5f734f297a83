// The cache nodes' protocol: commands and answers are lines of space-separated words, and a body may follow.
// The director formats commands and parses answers incrementally.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "policy.hpp"
#include "policy/memory_budget.hpp"

namespace hareramp::protocol {

// The parts of a client's request that are forwarded to the nodes unchanged.
struct ForwardedRequest {
  std::string lane, name, piece, cached, body;
  policy::MemoryCharge body_memory = {};
  std::uint32_t request_class_number = 0, location_number = 0;  // only for flow records; not sent
  // Set by the client's connection once the client has closed, reset or left it; not sent. From then on no
  // attempt for the request starts.
  bool client_gone = false;
};

// The first line of the command to serve a request; the request's body and kCommandEnd follow. time_left: for
// the node to answer. node: the node that gets the command.
constexpr std::string_view kCommandEnd = "\r\n";
std::string format_serve_line(const RequestId& request, const ForwardedRequest& forwarded_request,
                              Seconds time_left, const NodeId& node, const FillOptions& fill);
std::string format_cancel_command(const RequestId& request);

class AnswerHandler {
 public:
  virtual ~AnswerHandler() = default;
  // Views are valid only during the call. same_copy: the client's cached copy is still current.
  virtual void answer(std::string_view request, Result result, AnswerDetail detail, Seconds waited,
                      bool same_copy, std::string_view tag, const LoadReport& report,
                      std::string_view body) = 0;
  virtual void unknown_field(std::string_view name) = 0;
};

class AnswerParser {
 public:
  AnswerParser(std::size_t max_line_bytes, std::size_t max_body_bytes)
      : max_line_bytes_(max_line_bytes), max_body_bytes_(max_body_bytes) {}

  // Parses the complete answers at the start of the input; consumed is set to their length. False: an answer
  // is malformed, and nothing that follows it can be parsed.
  bool parse(std::string_view input, std::size_t& consumed, AnswerHandler& handler);
  // The number of further bytes that the answer in progress needs at least.
  std::size_t missing_bytes() const { return missing_bytes_; }
  // The size of the answer that is being passed to the handler, line and body.
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  std::size_t max_line_bytes_, max_body_bytes_;
  std::size_t searched_ = 0, missing_bytes_ = 0, answer_bytes_ = 0;
};

}  // namespace hareramp::protocol
