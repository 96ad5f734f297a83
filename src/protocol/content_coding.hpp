// The content coding gzip (RFC 9110, 8.4.1.3; RFC 1952) by zlib: whole members out, a stream of members in.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hareramp::protocol {

// One gzip member that holds all of it. Throws std::bad_alloc.
std::string gzip(std::string_view bytes);

// Decodes one member after another as the bytes come.
class GzipDecoder {
 public:
  GzipDecoder();  // throws std::bad_alloc
  ~GzipDecoder();
  GzipDecoder(const GzipDecoder&) = delete;
  GzipDecoder& operator=(const GzipDecoder&) = delete;

  // Hands what has been decoded on in pieces of a few KB. False: the bytes are no gzip, or the taker answered
  // false; nothing more can be decoded then.
  bool decode(std::string_view bytes, const std::function<bool(std::string_view piece)>& take);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hareramp::protocol
