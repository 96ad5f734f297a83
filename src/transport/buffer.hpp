// The bytes that a connection has taken in and not yet used. Grows as needed and is compacted in place; a
// large one is given back once it is empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <span>
#include <string_view>

namespace hareramp::transport {

class Buffer {
 public:
  // An empty buffer keeps at most so many bytes of memory.
  explicit Buffer(std::size_t keep) : keep_(keep) {}

  std::string_view view() const { return {bytes_.get() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  std::size_t capacity() const { return capacity_; }

  // At least so much room behind the bytes held.
  std::span<char> prepare(std::size_t least) {
    if (capacity_ - end_ < least && begin_ > 0) {
      std::memmove(bytes_.get(), bytes_.get() + begin_, size());
      end_ -= begin_;
      begin_ = 0;
    }
    if (capacity_ - end_ < least) {
      const std::size_t wanted = std::max(end_ + least, 2 * capacity_);
      auto larger = std::make_unique_for_overwrite<char[]>(wanted);
      if (end_ > 0) std::memcpy(larger.get(), bytes_.get(), end_);
      bytes_ = std::move(larger);
      capacity_ = wanted;
    }
    return {bytes_.get() + end_, capacity_ - end_};
  }
  void commit(std::size_t count) { end_ += count; }
  void consume(std::size_t count) {
    begin_ += std::min(count, size());
    if (begin_ < end_) return;
    begin_ = end_ = 0;
    if (capacity_ > keep_) release();
  }
  // Gives the memory of an empty buffer back: whoever waits long for bytes needs none until they come.
  void release() {
    if (begin_ < end_) return;
    bytes_.reset();
    begin_ = end_ = capacity_ = 0;
  }

 private:
  std::size_t keep_;
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, begin_ = 0, end_ = 0;
};

}  // namespace hareramp::transport
