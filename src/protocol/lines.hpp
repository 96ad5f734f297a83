// The cache nodes' protocol: commands and answers as lines of words, with bodies behind them. Commands are
// written, answers parsed as they arrive, in pieces of any size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "policy.hpp"

namespace hareramp::protocol {

// What a request says of itself; it goes on as the client worded it.
struct ForwardedRequest {
  std::string lane, name, piece, cached, body;
  std::uint32_t request_class_number = 0, location_number = 0;  // for flow records alone; not worded
  // Set by the client's connection once the client has closed, reset or left it; not worded. From then on no
  // attempt for the request begins.
  bool client_gone = false;
};

std::string format_serve_command(const RequestId& request, const ForwardedRequest& forwarded_request,
                                 Seconds wait, const NodeId& node, const FillOptions& fill);
std::string format_cancel_command(const RequestId& request);

class AnswerHandler {
 public:
  virtual ~AnswerHandler() = default;
  // Views last only for the call.
  virtual void answer(std::string_view request, Result result, AnswerDetail note, Seconds waited,
                      bool same_copy, std::string_view tag, const LoadReport& report,
                      std::string_view body) = 0;
  virtual void unknown_field(std::string_view name) = 0;
};

class AnswerParser {
 public:
  AnswerParser(std::size_t most_line, std::size_t most_body) : most_line_(most_line), most_body_(most_body) {}

  // Reads the whole answers at the start of input. False: it can't be read, and nothing after it either.
  bool feed(std::string_view input, std::size_t& used, AnswerHandler& handler);
  // How many more bytes the answer that has begun needs at least.
  std::size_t wanted() const { return wanted_; }
  // Of the answer that the handler is being told: all of it, line and body.
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  std::size_t most_line_, most_body_;
  std::size_t looked_ = 0, wanted_ = 0, answer_bytes_ = 0;
};

}  // namespace hareramp::protocol
