// The newest events of the stream, in batches that are encoded once for all subscribers. Bounded in bytes:
// the oldest batches go first. Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hareramp::distribution {

// Bytes that go to a subscriber, shared by all that get the same.
using SharedBytes = std::shared_ptr<const std::string>;

// The same events as they are and as one gzip member.
struct EncodedPiece {
  SharedBytes plain, compressed;
  long long last = 0;  // number of the last event in it
};
EncodedPiece encode_piece(std::string plain, long long last);

class Window {
 public:
  explicit Window(std::size_t bytes_most) : bytes_most_(bytes_most) {}

  // Numbers rise. What is added waits until the batch is closed, which a long one is by itself.
  void add(long long number, const std::string& event);
  void close_batch();
  bool batch_waits() const { return !open_marks_.empty(); }

  // Every event behind the cursor is still here.
  bool reaches(long long cursor) const { return cursor >= floor_; }
  // Number of the last event in a closed batch, or of the last one given up.
  long long last() const { return batches_.empty() ? floor_ : batches_.back().piece.last; }
  // What follows the cursor, which the window reaches: a whole batch, or the rest of one where the cursor is
  // inside it. Empty where there is nothing.
  struct Next {
    EncodedPiece piece;
    bool shared = true;  // false: made for this cursor alone
  };
  Next next(long long cursor) const;
  // Forgets everything up to and with this number.
  void restart(long long floor);
  std::size_t bytes() const { return bytes_; }

 private:
  struct Mark {
    long long number = 0;
    std::size_t begin = 0;  // of the event in the batch's plain bytes
  };
  struct Batch {
    EncodedPiece piece;
    std::vector<Mark> marks;
  };
  static std::size_t size_of(const Batch& batch);

  std::size_t bytes_most_;
  std::size_t bytes_ = 0;
  long long floor_ = 0;
  std::deque<Batch> batches_;
  std::string open_bytes_;
  std::vector<Mark> open_marks_;
};

}  // namespace hareramp::distribution
