// The newest events of the stream, in batches that are encoded once for all subscribers. Bounded in bytes:
// the oldest batches are evicted first. No I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hareramp::distribution {

// Bytes to send, shared by all subscribers that receive the same ones.
using SharedBytes = std::shared_ptr<const std::string>;

// The same events as plain text and as one gzip member.
struct EncodedChunk {
  SharedBytes plain, compressed;
  long long last = 0;  // number of the last event in it
};
EncodedChunk encode_chunk(std::string plain, long long last);

class Window {
 public:
  explicit Window(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Numbers must rise. Events become available to next() when their batch is closed, by close_batch() or by
  // itself once the batch is large.
  void add(long long number, const std::string& event);
  void close_batch();
  bool has_open_batch() const { return !open_batch_offsets_.empty(); }

  // True if every event after the cursor is still in the window.
  bool covers(long long cursor) const { return cursor >= evicted_through_; }
  // Number of the last event in a closed batch, or of the last evicted event if there is none.
  long long last() const { return batches_.empty() ? evicted_through_ : batches_.back().chunk.last; }
  // What follows the cursor, which the window must cover: a whole batch, or the rest of one if the cursor is
  // inside it. The chunk is empty if nothing follows.
  struct Next {
    EncodedChunk chunk;
    bool shared = true;  // false: encoded for this cursor only
  };
  Next next(long long cursor) const;
  // Drops all events; numbers up to and including this one count as evicted.
  void reset(long long last_number);
  std::size_t bytes() const { return bytes_; }

 private:
  struct EventOffset {
    long long number = 0;
    std::size_t offset = 0;  // of the event in the batch's plain bytes
  };
  struct Batch {
    EncodedChunk chunk;
    std::vector<EventOffset> event_offsets;
  };
  static std::size_t size_of(const Batch& batch);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  long long evicted_through_ = 0;  // number of the last evicted event
  std::deque<Batch> batches_;
  std::string open_batch_bytes_;
  std::vector<EventOffset> open_batch_offsets_;
};

}  // namespace hareramp::distribution
