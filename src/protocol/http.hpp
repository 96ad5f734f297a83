// HTTP/1.1: an incremental parser of requests and responses, and the formatting of response heads. Responses
// are parsed for the client of the change stream. No sockets here and no interpretation of the messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hareramp::protocol {

// Receives the parts of a message, in their order. Views are valid only during the call.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // A request's method and target, or a response's status and reason.
  virtual void start_line(std::string_view first, std::string_view second) = 0;
  virtual void header(std::string_view name, std::string_view value) = 0;
  virtual void body(std::string_view chunk) = 0;
};

struct HttpLimits {
  std::size_t head_bytes, body_bytes;
};

class HttpParser {
 public:
  enum class Message { kRequest, kResponse };
  enum class Step {
    kMore,      // all complete parts of the input are consumed; more input is needed
    kHead,      // the head has just ended and a body follows
    kDone,      // the message is complete; the following bytes belong to the next one
    kBad,       // malformed: nothing that follows on the connection can be trusted
    kTooLarge,  // the head or the body exceeds its limit, also a chunked body of unknown length
    kUnknown    // an unsupported transfer coding or version
  };

  HttpParser(Message message, HttpLimits limits) : message_(message), limits_(limits) {}

  // Continues to parse with the input; consumed is set to the number of bytes that the caller has to remove
  // from its start before the next call.
  Step parse(std::string_view input, std::size_t& consumed, HttpHandler& handler);

  // Both are valid once the head has ended.
  bool keeps_alive() const { return keeps_alive_; }
  bool expects_continue() const { return expects_continue_; }
  // Bytes of the body, or of the chunk, that are still to come.
  std::size_t missing_body() const { return remaining_; }
  // The parser is within a message's head, or before its first byte.
  bool in_head() const { return stage_ == Stage::kStart || stage_ == Stage::kHeaders; }
  // A message has begun and not ended. The empty lines that may precede a request do not begin one.
  bool in_message() const { return stage_ != Stage::kDone && (stage_ != Stage::kStart || head_begun_); }

 private:
  enum class Stage { kStart, kHeaders, kSized, kChunkSize, kChunk, kChunkEnd, kTrailers, kUntilEnd, kDone };
  Step parse_line(std::string_view text, HttpHandler& handler);
  Step parse_start_line(std::string_view text, HttpHandler& handler);
  Step parse_header(std::string_view text, HttpHandler& handler);
  Step end_head();
  Step parse_chunk_size(std::string_view text);
  void reset();

  Message message_;
  HttpLimits limits_;
  Stage stage_ = Stage::kStart;
  // searched_: bytes of an unfinished line already searched for its end. remaining_: bytes of the body or of
  // the chunk still to come. chunked_bytes_: sum of the chunk sizes so far.
  std::size_t searched_ = 0, head_bytes_ = 0, remaining_ = 0, chunked_bytes_ = 0;
  bool head_begun_ = false, keeps_alive_ = true, expects_continue_ = false;
  bool has_length_ = false, chunked_ = false, has_host_ = false, is_http_1_0_ = false;
};

// Whether the text holds nothing but ends of lines.
bool is_empty_lines(std::string_view text);

// True if a comma-separated header value contains the token, ignoring case.
bool has_token(std::string_view value, std::string_view token);
bool equal_ignoring_case(std::string_view a, std::string_view b);

// Formats the head of a response. extra_headers holds further header lines, each with its CR LF, or is empty.
std::string http_response_head(int status, std::string_view extra_headers, std::size_t length,
                               bool keep_alive);

}  // namespace hareramp::protocol
