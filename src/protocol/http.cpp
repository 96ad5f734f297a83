#include "protocol/http.hpp"

#include <algorithm>
#include <charconv>

namespace hareramp::protocol {

namespace {
using Step = HttpParser::Step;

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (to_lower(c) >= 'a' && to_lower(c) <= 'z') ||
           kTokenSymbols.find(c) != std::string_view::npos;
  });
}
bool has_no_control_characters(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto code = static_cast<unsigned char>(c);
    return (code < 0x20 && c != '\t') || code == 0x7f;
  });
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
bool parse_number(std::string_view text, std::size_t& value, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}
std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}
}  // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool has_token(std::string_view value, std::string_view token) {
  while (true) {
    const auto comma = value.find(',');
    if (equal_ignoring_case(trimmed(value.substr(0, comma)), token)) return true;
    if (comma == std::string_view::npos) return false;
    value.remove_prefix(comma + 1);
  }
}

bool is_empty_lines(std::string_view text) {
  return text.find_first_not_of("\r\n") == std::string_view::npos;
}

void HttpParser::reset() {
  stage_ = Stage::kStart;
  searched_ = head_bytes_ = remaining_ = chunked_bytes_ = 0;
  head_begun_ = expects_continue_ = has_length_ = chunked_ = has_host_ = is_http_1_0_ = false;
  keeps_alive_ = true;
}

Step HttpParser::parse(std::string_view input, std::size_t& consumed, HttpHandler& handler) {
  consumed = 0;
  if (stage_ == Stage::kDone) reset();
  for (;;) {
    const std::string_view rest = input.substr(consumed);
    if (stage_ == Stage::kSized || stage_ == Stage::kChunk || stage_ == Stage::kUntilEnd) {
      const std::size_t count = stage_ == Stage::kUntilEnd ? rest.size() : std::min(remaining_, rest.size());
      if (count > 0) handler.body(rest.substr(0, count));
      consumed += count;
      if (stage_ == Stage::kUntilEnd) return Step::kMore;
      remaining_ -= count;
      if (remaining_ > 0) return Step::kMore;
      if (stage_ == Stage::kChunk) {
        stage_ = Stage::kChunkEnd;
        continue;
      }
      stage_ = Stage::kDone;
      return Step::kDone;
    }
    head_begun_ = head_begun_ || !(message_ == Message::kRequest ? is_empty_lines(rest) : rest.empty());
    // Lines end in CR LF. The search continues where it stopped in the last call.
    const auto end = rest.find('\n', searched_);
    const std::size_t line_bytes = end == std::string_view::npos ? rest.size() : end + 1;
    if (head_bytes_ + line_bytes > limits_.head_bytes) return Step::kTooLarge;
    if (end == std::string_view::npos) {
      searched_ = rest.size();
      return Step::kMore;
    }
    searched_ = 0;
    consumed += line_bytes;
    if (stage_ != Stage::kChunkSize && stage_ != Stage::kChunkEnd) head_bytes_ += line_bytes;
    if (end == 0 || rest[end - 1] != '\r') return Step::kBad;
    const Step step = parse_line(rest.substr(0, end - 1), handler);
    if (step != Step::kMore) return step;
  }
}

Step HttpParser::parse_line(std::string_view text, HttpHandler& handler) {
  switch (stage_) {
    case Stage::kStart:
      // Some clients send an empty line after a body; it is skipped.
      return text.empty() && message_ == Message::kRequest ? Step::kMore : parse_start_line(text, handler);
    case Stage::kHeaders:
      return text.empty() ? end_head() : parse_header(text, handler);
    case Stage::kChunkSize:
      return parse_chunk_size(text);
    case Stage::kChunkEnd:
      stage_ = Stage::kChunkSize;
      return text.empty() ? Step::kMore : Step::kBad;
    default:  // trailers are read and ignored
      if (!text.empty()) return Step::kMore;
      stage_ = Stage::kDone;
      return Step::kDone;
  }
}

Step HttpParser::parse_start_line(std::string_view text, HttpHandler& handler) {
  const auto first_space = text.find(' ');
  if (first_space == std::string_view::npos || !has_no_control_characters(text)) return Step::kBad;
  std::string_view version, first, second;
  if (message_ == Message::kRequest) {
    const auto last_space = text.rfind(' ');
    if (last_space == first_space) return Step::kBad;
    first = text.substr(0, first_space), second = text.substr(first_space + 1, last_space - first_space - 1);
    version = text.substr(last_space + 1);
    if (!is_token(first) || second.empty() || second.find(' ') != std::string_view::npos) return Step::kBad;
  } else {
    version = text.substr(0, first_space);
    first = text.substr(first_space + 1, 3);
    second = trimmed(text.substr(std::min(text.size(), first_space + 4)));
    std::size_t status = 0;
    if (first.size() != 3 || !parse_number(first, status, 10)) return Step::kBad;
  }
  if (!version.starts_with("HTTP/")) return Step::kBad;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Step::kUnknown;
  is_http_1_0_ = version == "HTTP/1.0";
  keeps_alive_ = !is_http_1_0_;
  stage_ = Stage::kHeaders;
  handler.start_line(first, second);
  return Step::kMore;
}

Step HttpParser::parse_header(std::string_view text, HttpHandler& handler) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon)) || !has_no_control_characters(text))
    return Step::kBad;
  const std::string_view name = text.substr(0, colon), value = trimmed(text.substr(colon + 1));
  if (equal_ignoring_case(name, "content-length")) {
    std::size_t length = 0;
    if (!parse_number(value, length, 10) || (has_length_ && length != remaining_)) return Step::kBad;
    has_length_ = true, remaining_ = length;
  } else if (equal_ignoring_case(name, "transfer-encoding")) {
    if (!equal_ignoring_case(value, "chunked") || chunked_ || is_http_1_0_) return Step::kUnknown;
    chunked_ = true;
  } else if (equal_ignoring_case(name, "connection")) {
    if (has_token(value, "close")) keeps_alive_ = false;
    if (is_http_1_0_ && has_token(value, "keep-alive")) keeps_alive_ = true;
  } else if (equal_ignoring_case(name, "expect")) {
    expects_continue_ = equal_ignoring_case(value, "100-continue");
  } else if (equal_ignoring_case(name, "host")) {
    if (has_host_) return Step::kBad;
    has_host_ = true;
  }
  handler.header(name, value);
  return Step::kMore;
}

Step HttpParser::end_head() {
  const bool request = message_ == Message::kRequest;
  // Both Content-Length and Transfer-Encoding: the ambiguity that request smuggling uses.
  if (has_length_ && chunked_) return Step::kBad;
  if (request && !is_http_1_0_ && !has_host_) return Step::kBad;
  stage_ = chunked_ ? Stage::kChunkSize : has_length_ ? Stage::kSized : Stage::kUntilEnd;
  if (has_length_ && remaining_ > limits_.body_bytes) return Step::kTooLarge;
  if (chunked_ || (has_length_ ? remaining_ > 0 : !request)) return Step::kHead;
  stage_ = Stage::kDone;
  return Step::kDone;
}

Step HttpParser::parse_chunk_size(std::string_view text) {
  const std::string_view digits = trimmed(text.substr(0, text.find(';')));
  if (digits.size() > 8 || !parse_number(digits, remaining_, 16)) return Step::kBad;
  chunked_bytes_ += remaining_;
  if (chunked_bytes_ > limits_.body_bytes) return Step::kTooLarge;
  stage_ = remaining_ > 0 ? Stage::kChunk : Stage::kTrailers;
  return Step::kMore;
}

std::string http_response_head(int status, std::string_view extra_headers, std::size_t length,
                               bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += reason_phrase(status);
  head += "\r\n";
  head += extra_headers;
  if (status != 304) head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keep_alive) head += "Connection: close\r\n";
  return head += "\r\n";
}

}  // namespace hareramp::protocol
