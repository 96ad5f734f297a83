// HTTP/1.1: requests are parsed as they arrive, in pieces of any size, and answers are written. Also the
// little that a client of the change log needs. No sockets here, no meaning either.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hareramp::protocol {

// Where decoded fields go, in the order of the message. Views last only for the call.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // A request's method and target, or a response's status and reason.
  virtual void start_line(std::string_view first, std::string_view second) = 0;
  virtual void header(std::string_view name, std::string_view value) = 0;
  virtual void body(std::string_view piece) = 0;
};

struct HttpLimits {
  std::size_t head_bytes, body_bytes;
};

class HttpParser {
 public:
  enum class Message { kRequest, kResponse };
  enum class Step {
    kMore,      // all usable bytes are taken; more are needed
    kHead,      // the head has just ended, a body follows
    kDone,      // a whole message; the next bytes belong to another
    kBad,       // not HTTP as we read it: nothing that follows can be trusted
    kTooLarge,  // over a bound, or a body whose length is not told
    kUnknown    // a transfer coding or version that we do not speak
  };

  HttpParser(Message message, HttpLimits bounds) : message_(message), bounds_(bounds) {}

  // Reads on at the start of input and says in used how much of it is taken.
  Step feed(std::string_view input, std::size_t& used, HttpHandler& handler);

  // Known once the head has ended.
  bool keeps_alive() const { return keeps_alive_; }
  bool expects_continue() const { return expects_continue_; }
  // A message has begun and not ended.
  bool in_head() const { return stage_ == Stage::kStart || stage_ == Stage::kHeaders; }
  bool begun() const { return stage_ != Stage::kDone && (stage_ != Stage::kStart || in_head_); }

 private:
  enum class Stage { kStart, kHeaders, kSized, kChunkSize, kChunk, kChunkEnd, kTrailers, kUntilEnd, kDone };
  Step line(std::string_view text, HttpHandler& handler);
  Step start(std::string_view text, HttpHandler& handler);
  Step field(std::string_view text, HttpHandler& handler);
  Step head_ends();
  Step chunk_size(std::string_view text);
  void reset();

  Message message_;
  HttpLimits bounds_;
  Stage stage_ = Stage::kStart;
  std::size_t looked_ = 0, head_ = 0, left_ = 0, body_ = 0;
  bool in_head_ = false, keeps_alive_ = true, expects_continue_ = false;
  bool sized_ = false, chunked_ = false, has_host_ = false, old_ = false;
};

// True if a comma-separated header value holds the word, whatever its case.
bool has_token(std::string_view value, std::string_view word);
bool equal_ignoring_case(std::string_view a, std::string_view b);

// An answer's head; where more is not empty it holds further header lines, each with its CR LF.
std::string http_response_head(int status, std::string_view more, std::size_t length, bool keep_alive);

}  // namespace hareramp::protocol
