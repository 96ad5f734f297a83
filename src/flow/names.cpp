#include "flow/names.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hareramp::flow {

ipfix::NameNumber Names::number(double now, ipfix::NameKind kind, std::string_view given,
                                const Tell& first_time) {
  if (given.empty()) return {};
  Key key{kind, std::string(given.substr(0, 64))};
  const auto found = held_.find(key);
  if (found != held_.end()) {
    found->second.asked_at = now;
    return found->second.number;
  }
  if (held_.size() >= most_) return {};
  // Two names with one hash, about once in 4 billion pairs: the later one takes the next number that is free.
  ipfix::NameNumber number{static_cast<std::uint32_t>(XXH3_64bits(key.second.data(), key.second.size()))};
  while (number.value == 0 || by_number_.contains({kind, number})) ++number.value;
  by_number_.emplace(std::pair(kind, number), key.second);
  const auto made = held_.emplace(std::move(key), Held{number, now}).first;
  first_time(kind, number, made->first.second);
  return number;
}

void Names::each(const Tell& tell) const {
  for (const auto& [key, held] : held_) tell(key.first, held.number, key.second);
}

void Names::forget(double now) {
  std::erase_if(held_, [&](const auto& entry) {
    const bool old = entry.second.asked_at + keep_ < now;
    if (old) by_number_.erase({entry.first.first, entry.second.number});
    return old;
  });
}

}  // namespace hareramp::flow
