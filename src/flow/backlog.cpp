#include "flow/backlog.hpp"

#include <utility>

namespace hareramp::flow {

namespace {
constexpr std::size_t kOverheadPerMessage = 96;  // bytes of memory per message beside its contents
}

MessageNumber Backlog::push(MessagePointer message) {
  bytes_ += message->bytes.size() + kOverheadPerMessage;
  messages_.push_back(std::move(message));
  return end() - 1;
}

MessagePointer Backlog::at(MessageNumber number) const {
  if (number < first_ || number >= end()) return nullptr;
  return messages_[number - first_];
}

void Backlog::pop() {
  bytes_ -= messages_.front()->bytes.size() + kOverheadPerMessage;
  messages_.pop_front();
  ++first_;
}

void Backlog::release(MessageNumber number) {
  while (!messages_.empty() && first_ < number) pop();
}

}  // namespace hareramp::flow
