#include "protocol/http.hpp"

#include <algorithm>
#include <charconv>

namespace hareramp::protocol {

namespace {
using Step = HttpParser::Step;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           kMarks.find(c) != std::string_view::npos;
  });
}
bool is_clean(std::string_view text) {  // no control characters
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return (u < 0x20 && c != '\t') || u == 0x7f;
  });
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
bool read_whole(std::string_view text, std::size_t& value, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}
std::string_view reason(int status) {
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
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view value, std::string_view word) {
  while (true) {
    const auto comma = value.find(',');
    if (equal_ignoring_case(trimmed(value.substr(0, comma)), word)) return true;
    if (comma == std::string_view::npos) return false;
    value.remove_prefix(comma + 1);
  }
}

void HttpParser::reset() {
  stage_ = Stage::kStart;
  looked_ = head_ = left_ = body_ = 0;
  in_head_ = expects_continue_ = sized_ = chunked_ = has_host_ = old_ = false;
  keeps_alive_ = true;
}

Step HttpParser::feed(std::string_view input, std::size_t& used, HttpHandler& handler) {
  used = 0;
  if (stage_ == Stage::kDone) reset();
  for (;;) {
    const std::string_view rest = input.substr(used);
    if (stage_ == Stage::kSized || stage_ == Stage::kChunk || stage_ == Stage::kUntilEnd) {
      const std::size_t count = stage_ == Stage::kUntilEnd ? rest.size() : std::min(left_, rest.size());
      if (count > 0) handler.body(rest.substr(0, count));
      used += count;
      if (stage_ == Stage::kUntilEnd) return Step::kMore;
      left_ -= count;
      if (left_ > 0) return Step::kMore;
      if (stage_ == Stage::kChunk) {
        stage_ = Stage::kChunkEnd;
        continue;
      }
      stage_ = Stage::kDone;
      return Step::kDone;
    }
    in_head_ = in_head_ || !rest.empty();
    // Lines end in CR LF; where the search stopped last time it goes on.
    const auto end = rest.find('\n', looked_);
    const std::size_t taken = end == std::string_view::npos ? rest.size() : end + 1;
    if (head_ + taken > bounds_.head_bytes) return Step::kTooLarge;
    if (end == std::string_view::npos) {
      looked_ = rest.size();
      return Step::kMore;
    }
    looked_ = 0;
    used += taken;
    if (stage_ != Stage::kChunkSize && stage_ != Stage::kChunkEnd) head_ += taken;
    if (end == 0 || rest[end - 1] != '\r') return Step::kBad;
    const Step step = line(rest.substr(0, end - 1), handler);
    if (step != Step::kMore) return step;
  }
}

Step HttpParser::line(std::string_view text, HttpHandler& handler) {
  switch (stage_) {
    case Stage::kStart:
      // Some clients send an empty line after a body; it is passed over.
      return text.empty() && message_ == Message::kRequest ? Step::kMore : start(text, handler);
    case Stage::kHeaders:
      return text.empty() ? head_ends() : field(text, handler);
    case Stage::kChunkSize:
      return chunk_size(text);
    case Stage::kChunkEnd:
      stage_ = Stage::kChunkSize;
      return text.empty() ? Step::kMore : Step::kBad;
    default:  // trailers are read and not used
      if (!text.empty()) return Step::kMore;
      stage_ = Stage::kDone;
      return Step::kDone;
  }
}

Step HttpParser::start(std::string_view text, HttpHandler& handler) {
  const auto first = text.find(' ');
  if (first == std::string_view::npos || !is_clean(text)) return Step::kBad;
  std::string_view version, one, two;
  if (message_ == Message::kRequest) {
    const auto last = text.rfind(' ');
    if (last == first) return Step::kBad;
    one = text.substr(0, first), two = text.substr(first + 1, last - first - 1);
    version = text.substr(last + 1);
    if (!is_token(one) || two.empty() || two.find(' ') != std::string_view::npos) return Step::kBad;
  } else {
    version = text.substr(0, first);
    one = text.substr(first + 1, 3);
    two = trimmed(text.substr(std::min(text.size(), first + 4)));
    std::size_t status = 0;
    if (one.size() != 3 || !read_whole(one, status, 10)) return Step::kBad;
  }
  if (!version.starts_with("HTTP/")) return Step::kBad;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Step::kUnknown;
  old_ = version == "HTTP/1.0";
  keeps_alive_ = !old_;
  stage_ = Stage::kHeaders;
  handler.start_line(one, two);
  return Step::kMore;
}

Step HttpParser::field(std::string_view text, HttpHandler& handler) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon)) || !is_clean(text))
    return Step::kBad;
  const std::string_view name = text.substr(0, colon), value = trimmed(text.substr(colon + 1));
  if (equal_ignoring_case(name, "content-length")) {
    std::size_t length = 0;
    if (!read_whole(value, length, 10) || (sized_ && length != left_)) return Step::kBad;
    sized_ = true, left_ = length;
  } else if (equal_ignoring_case(name, "transfer-encoding")) {
    if (!equal_ignoring_case(value, "chunked") || chunked_ || old_) return Step::kUnknown;
    chunked_ = true;
  } else if (equal_ignoring_case(name, "connection")) {
    if (has_token(value, "close")) keeps_alive_ = false;
    if (old_ && has_token(value, "keep-alive")) keeps_alive_ = true;
  } else if (equal_ignoring_case(name, "expect")) {
    expects_continue_ = equal_ignoring_case(value, "100-continue");
  } else if (equal_ignoring_case(name, "host")) {
    if (has_host_) return Step::kBad;
    has_host_ = true;
  }
  handler.header(name, value);
  return Step::kMore;
}

Step HttpParser::head_ends() {
  const bool request = message_ == Message::kRequest;
  // Two lengths at once are how requests get smuggled past each other.
  if (sized_ && chunked_) return Step::kBad;
  if (request && !old_ && !has_host_) return Step::kBad;
  stage_ = chunked_ ? Stage::kChunkSize : sized_ ? Stage::kSized : Stage::kUntilEnd;
  if (sized_ && left_ > bounds_.body_bytes) return Step::kTooLarge;
  if (chunked_ || (sized_ ? left_ > 0 : !request)) return Step::kHead;
  stage_ = Stage::kDone;
  return Step::kDone;
}

Step HttpParser::chunk_size(std::string_view text) {
  const std::string_view digits = trimmed(text.substr(0, text.find(';')));
  if (digits.size() > 8 || !read_whole(digits, left_, 16)) return Step::kBad;
  body_ += left_;
  if (body_ > bounds_.body_bytes) return Step::kTooLarge;
  stage_ = left_ > 0 ? Stage::kChunk : Stage::kTrailers;
  return Step::kMore;
}

std::string http_response_head(int status, std::string_view more, std::size_t length, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += reason(status);
  head += "\r\n";
  head += more;
  if (status != 304) head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keep_alive) head += "Connection: close\r\n";
  return head += "\r\n";
}

}  // namespace hareramp::protocol
