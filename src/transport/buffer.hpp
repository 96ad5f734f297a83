// A byte buffer for data that a connection has received and not yet consumed. It grows as needed and is
// compacted in place; a large one frees its memory once it is empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <limits>
#include <memory>
#include <span>
#include <string_view>

namespace hareramp::transport {

class Buffer {
 public:
  // An empty buffer retains at most this many bytes of memory.
  explicit Buffer(std::size_t retained_bytes) : retained_bytes_(retained_bytes) {}
  // The same; while it waits for more data, at most waiting_slack bytes of its memory are unused.
  Buffer(std::size_t retained_bytes, std::size_t waiting_slack)
      : retained_bytes_(retained_bytes), waiting_slack_(waiting_slack) {}

  std::string_view view() const { return {bytes_.get() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  std::size_t capacity() const { return capacity_; }

  // Returns writable space of at least min_size bytes behind the data; commit() then adds to the data what
  // was written there.
  std::span<char> prepare(std::size_t min_size) {
    if (capacity_ - end_ < min_size && begin_ > 0) {
      std::memmove(bytes_.get(), bytes_.get() + begin_, size());
      end_ -= begin_;
      begin_ = 0;
    }
    if (capacity_ - end_ < min_size) {
      const std::size_t new_capacity = std::max(end_ + min_size, 2 * capacity_);
      auto larger = std::make_unique_for_overwrite<char[]>(new_capacity);
      if (end_ > 0) std::memcpy(larger.get(), bytes_.get(), end_);
      bytes_ = std::move(larger);
      capacity_ = new_capacity;
    }
    return {bytes_.get() + end_, capacity_ - end_};
  }
  void commit(std::size_t count) { end_ += count; }
  void consume(std::size_t count) {
    begin_ += std::min(count, size());
    if (begin_ < end_) return;
    begin_ = end_ = 0;
    if (capacity_ > retained_bytes_) release();
  }
  // Frees the memory that a connection does not need while it waits for data: all of an empty buffer, and the
  // unused part of another where that exceeds the slack.
  void release() {
    const std::size_t bytes = size();
    if (bytes > 0 && capacity_ - bytes <= waiting_slack_) return;
    std::unique_ptr<char[]> smaller;
    if (bytes > 0) {
      smaller = std::make_unique_for_overwrite<char[]>(bytes);
      std::memcpy(smaller.get(), bytes_.get() + begin_, bytes);
    }
    bytes_ = std::move(smaller);
    capacity_ = end_ = bytes;
    begin_ = 0;
  }

 private:
  std::size_t retained_bytes_, waiting_slack_ = std::numeric_limits<std::size_t>::max();
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, begin_ = 0, end_ = 0;
};

}  // namespace hareramp::transport
