// Queue in memory of the finished messages of one stream, numbered from the stream's start. Does no I/O. Its
// size in bytes is bounded: the oldest message is dropped first. A dropped message is either in the spool on
// disk, or the caller counts it as not sent for each receiver that had not received it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "ipfix/encoder.hpp"

namespace hareramp::flow {

// Position of a message in its stream. With a spool, the numbering continues after a restart.
using MessageNumber = std::uint64_t;
using MessagePointer = std::shared_ptr<const ipfix::Message>;

class Backlog {
 public:
  Backlog(std::size_t bytes, MessageNumber first) : max_bytes_(bytes), first_(first) {}

  MessageNumber push(MessagePointer message);
  MessageNumber first() const { return first_; }                   // oldest message in memory
  MessageNumber end() const { return first_ + messages_.size(); }  // number of the next message pushed
  // Null if the message has left the queue or has not been pushed yet.
  MessagePointer at(MessageNumber number) const;
  bool empty() const { return messages_.empty(); }
  std::size_t bytes() const { return bytes_; }
  // Removes the messages before number, which no receiver needs any more.
  void release(MessageNumber number);
  // Drops the oldest messages until the size limit holds. Calls dropped(number, message) for each of them, so
  // that the caller can count it.
  template <class Dropped>
  void drop_excess(const Dropped& dropped) {
    while (bytes_ > max_bytes_ && !messages_.empty()) {
      const MessagePointer oldest = messages_.front();
      const MessageNumber number = first_;
      pop();
      dropped(number, *oldest);
    }
  }

 private:
  void pop();
  std::size_t max_bytes_, bytes_ = 0;
  MessageNumber first_;
  std::deque<MessagePointer> messages_;
};

}  // namespace hareramp::flow
