// The gzip content coding (RFC 9110, 8.4.1.3; RFC 1952), by zlib: encodes complete members and decodes a
// stream of members.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hareramp::protocol {

// Encodes the bytes as one gzip member. Throws std::bad_alloc.
std::string gzip(std::string_view bytes);

// Decodes a stream of gzip members incrementally.
class GzipDecoder {
 public:
  GzipDecoder();  // throws std::bad_alloc
  ~GzipDecoder();
  GzipDecoder(const GzipDecoder&) = delete;
  GzipDecoder& operator=(const GzipDecoder&) = delete;

  // Decodes the bytes and passes the result to the consumer in chunks of a few KB. False: the bytes are not
  // gzip or the consumer returned false; nothing more can be decoded then.
  bool decode(std::string_view bytes, const std::function<bool(std::string_view chunk)>& consumer);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hareramp::protocol
