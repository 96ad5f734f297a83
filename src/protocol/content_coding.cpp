#include "protocol/content_coding.hpp"

#include <zlib.h>

#include <array>
#include <new>

namespace hareramp::protocol {

namespace {
constexpr int kGzipOnly = 16;      // added to the window's bits: a gzip header, none of zlib's own
constexpr int kEncodeWindow = 15;  // bits
constexpr int kMemoryLevel = 8;    // zlib's usual one
constexpr std::size_t kPiece = 4096;

Bytef* as_input(std::string_view bytes) {
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}
}  // namespace

std::string gzip(std::string_view bytes) {
  z_stream stream{};
  if (deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, kEncodeWindow + kGzipOnly, kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK)
    throw std::bad_alloc();
  std::string out(deflateBound(&stream, bytes.size()), '\0');
  stream.next_in = as_input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  const int ended = deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  if (ended != Z_STREAM_END) throw std::bad_alloc();  // the bound holds by zlib's word; nothing else can fail
  return out;
}

struct GzipDecoder::State {
  z_stream stream{};
};

GzipDecoder::GzipDecoder() : state_(std::make_unique<State>()) {
  if (inflateInit2(&state_->stream, MAX_WBITS + kGzipOnly) != Z_OK) throw std::bad_alloc();
}

GzipDecoder::~GzipDecoder() { inflateEnd(&state_->stream); }

bool GzipDecoder::decode(std::string_view bytes, const std::function<bool(std::string_view)>& take) {
  z_stream& stream = state_->stream;
  std::array<char, kPiece> piece;
  stream.next_in = as_input(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  bool more = true;
  while (more) {
    stream.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream.avail_out = kPiece;
    const int result = inflate(&stream, Z_NO_FLUSH);
    if (result != Z_OK && result != Z_STREAM_END && result != Z_BUF_ERROR) return false;
    const std::size_t decoded = kPiece - stream.avail_out;
    if (decoded > 0 && !take({piece.data(), decoded})) return false;
    if (result == Z_STREAM_END && inflateReset(&stream) != Z_OK) return false;
    more = result != Z_BUF_ERROR && (stream.avail_in > 0 || stream.avail_out == 0);
  }
  return true;
}

}  // namespace hareramp::protocol
