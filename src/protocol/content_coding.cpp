#include "protocol/content_coding.hpp"

#include <zlib.h>

#include <array>
#include <new>

namespace hareramp::protocol {

namespace {
constexpr int kGzipFormat = 16;  // added to the window bits: gzip format instead of zlib's own
constexpr int kEncodeWindowBits = 15;
constexpr int kMemoryLevel = 8;  // zlib's default
constexpr std::size_t kChunkBytes = 4096;

Bytef* as_input(std::string_view bytes) {
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}
}  // namespace

std::string gzip(std::string_view bytes) {
  z_stream stream{};
  if (deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, kEncodeWindowBits + kGzipFormat, kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK)
    throw std::bad_alloc();
  std::string out(deflateBound(&stream, bytes.size()), '\0');
  stream.next_in = as_input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  const int result = deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  if (result != Z_STREAM_END) throw std::bad_alloc();  // zlib guarantees the bound; nothing else can fail
  return out;
}

struct GzipDecoder::State {
  z_stream stream{};
};

GzipDecoder::GzipDecoder() : state_(std::make_unique<State>()) {
  if (inflateInit2(&state_->stream, MAX_WBITS + kGzipFormat) != Z_OK) throw std::bad_alloc();
}

GzipDecoder::~GzipDecoder() { inflateEnd(&state_->stream); }

bool GzipDecoder::decode(std::string_view bytes, const std::function<bool(std::string_view)>& consumer) {
  z_stream& stream = state_->stream;
  std::array<char, kChunkBytes> chunk;
  stream.next_in = as_input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  bool has_more = true;
  while (has_more) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = kChunkBytes;
    const int result = inflate(&stream, Z_NO_FLUSH);
    if (result != Z_OK && result != Z_STREAM_END && result != Z_BUF_ERROR) return false;
    const std::size_t decoded = kChunkBytes - stream.avail_out;
    if (decoded > 0 && !consumer({chunk.data(), decoded})) return false;
    if (result == Z_STREAM_END && inflateReset(&stream) != Z_OK) return false;
    has_more = result != Z_BUF_ERROR && (stream.avail_in > 0 || stream.avail_out == 0);
  }
  return true;
}

}  // namespace hareramp::protocol
