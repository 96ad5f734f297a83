#include "distribution/window.hpp"

#include <algorithm>

#include "protocol/content_coding.hpp"

namespace hareramp::distribution {

namespace {
// Limits a batch while a source sends a backlog of megabytes between two ticks. As a single batch the backlog
// would make up the whole window, exceed its bound, and go to each subscriber in one write.
constexpr std::size_t kMaxBatchBytes = 64 * 1024;
}  // namespace

EncodedChunk encode_chunk(std::string plain, long long last) {
  EncodedChunk chunk;
  chunk.compressed = std::make_shared<const std::string>(protocol::gzip(plain));
  chunk.plain = std::make_shared<const std::string>(std::move(plain));
  chunk.last = last;
  return chunk;
}

std::size_t Window::size_of(const Batch& batch) {
  return batch.chunk.plain->size() + batch.chunk.compressed->size() +
         batch.event_offsets.size() * sizeof(EventOffset);
}

void Window::add(long long number, const std::string& event) {
  open_batch_offsets_.push_back({number, open_batch_bytes_.size()});
  open_batch_bytes_ += event;
  if (open_batch_bytes_.size() >= kMaxBatchBytes) close_batch();
}

void Window::close_batch() {
  if (open_batch_offsets_.empty()) return;
  Batch batch;
  batch.chunk = encode_chunk(std::move(open_batch_bytes_), open_batch_offsets_.back().number);
  batch.event_offsets = std::move(open_batch_offsets_);
  open_batch_bytes_.clear();
  open_batch_offsets_.clear();
  bytes_ += size_of(batch);
  batches_.push_back(std::move(batch));
  while (bytes_ > max_bytes_ && batches_.size() > 1) {
    bytes_ -= size_of(batches_.front());
    evicted_through_ = batches_.front().chunk.last;
    batches_.pop_front();
  }
}

Window::Next Window::next(long long cursor) const {
  const auto batch = std::upper_bound(
      batches_.begin(), batches_.end(), cursor,
      [](long long position, const Batch& element) { return position < element.chunk.last; });
  if (batch == batches_.end()) return {};
  const auto event = std::upper_bound(
      batch->event_offsets.begin(), batch->event_offsets.end(), cursor,
      [](long long position, const EventOffset& element) { return position < element.number; });
  if (event == batch->event_offsets.begin()) return {batch->chunk, true};
  return {encode_chunk(batch->chunk.plain->substr(event->offset), batch->chunk.last), false};
}

void Window::reset(long long last_number) {
  batches_.clear();
  open_batch_bytes_.clear();
  open_batch_offsets_.clear();
  bytes_ = 0;
  evicted_through_ = last_number;
}

}  // namespace hareramp::distribution
