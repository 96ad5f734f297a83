#include "distribution/window.hpp"

#include <algorithm>

#include "protocol/content_coding.hpp"

namespace hareramp::distribution {

namespace {
// A source's backlog comes by the megabyte between two ticks: as one batch it would be the whole window,
// whatever its bound, and one write to each subscriber.
constexpr std::size_t kBatchBytes = 64 * 1024;
}  // namespace

EncodedPiece encode_piece(std::string plain, long long last) {
  EncodedPiece piece;
  piece.compressed = std::make_shared<const std::string>(protocol::gzip(plain));
  piece.plain = std::make_shared<const std::string>(std::move(plain));
  piece.last = last;
  return piece;
}

std::size_t Window::size_of(const Batch& batch) {
  return batch.piece.plain->size() + batch.piece.compressed->size() + batch.marks.size() * sizeof(Mark);
}

void Window::add(long long number, const std::string& event) {
  open_marks_.push_back({number, open_bytes_.size()});
  open_bytes_ += event;
  if (open_bytes_.size() >= kBatchBytes) close_batch();
}

void Window::close_batch() {
  if (open_marks_.empty()) return;
  Batch batch;
  batch.piece = encode_piece(std::move(open_bytes_), open_marks_.back().number);
  batch.marks = std::move(open_marks_);
  open_bytes_.clear();
  open_marks_.clear();
  bytes_ += size_of(batch);
  batches_.push_back(std::move(batch));
  while (bytes_ > bytes_most_ && batches_.size() > 1) {
    bytes_ -= size_of(batches_.front());
    floor_ = batches_.front().piece.last;
    batches_.pop_front();
  }
}

Window::Next Window::next(long long cursor) const {
  const auto batch = std::upper_bound(batches_.begin(), batches_.end(), cursor,
                                      [](long long at, const Batch& one) { return at < one.piece.last; });
  if (batch == batches_.end()) return {};
  const auto mark = std::upper_bound(batch->marks.begin(), batch->marks.end(), cursor,
                                     [](long long at, const Mark& one) { return at < one.number; });
  if (mark == batch->marks.begin()) return {batch->piece, true};
  return {encode_piece(batch->piece.plain->substr(mark->begin), batch->piece.last), false};
}

void Window::restart(long long floor) {
  batches_.clear();
  open_bytes_.clear();
  open_marks_.clear();
  bytes_ = 0;
  floor_ = floor;
}

}  // namespace hareramp::distribution
