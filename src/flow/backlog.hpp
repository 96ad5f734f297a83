// The finished messages of one stream that wait in memory, numbered from the stream's start, and what each of
// its receivers has lost of them. Pure. Bounded in bytes: the oldest goes first, and is then either on the
// disk or, for each receiver that had not got it, counted as not sent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "ipfix/encoder.hpp"

namespace hareramp::flow {

// Where a message stands in its stream; goes on over restarts where there is a spool.
using MessageNumber = std::uint64_t;
using MessagePointer = std::shared_ptr<const ipfix::Message>;

class Backlog {
 public:
  Backlog(std::size_t bytes, MessageNumber first) : bytes_most_(bytes), first_(first) {}

  MessageNumber push(MessagePointer message);
  MessageNumber first() const { return first_; }                   // held in memory
  MessageNumber end() const { return first_ + messages_.size(); }  // the number of the next one
  // Null if it is no longer, or not yet, here.
  MessagePointer at(MessageNumber number) const;
  bool empty() const { return messages_.empty(); }
  std::size_t bytes() const { return bytes_; }
  // Those before number are no longer needed by anyone.
  void release(MessageNumber number);
  // Drops the oldest until the bound holds; each that went is handed over with its number, for the accounts.
  template <class Dropped>
  void keep_bound(const Dropped& dropped) {
    while (bytes_ > bytes_most_ && !messages_.empty()) {
      const MessagePointer oldest = messages_.front();
      const MessageNumber number = first_;
      pop();
      dropped(number, *oldest);
    }
  }

 private:
  void pop();
  std::size_t bytes_most_, bytes_ = 0;
  MessageNumber first_;
  std::deque<MessagePointer> messages_;
};

}  // namespace hareramp::flow
