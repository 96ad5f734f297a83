#include "flow/names.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hareramp::flow {

ipfix::NameNumber Names::number(double now, ipfix::NameKind kind, std::string_view name,
                                const Visitor& on_new_name) {
  if (name.empty()) return {};
  Key key{kind, std::string(name.substr(0, 64))};
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    found->second.last_used_at = now;
    return found->second.number;
  }
  if (entries_.size() >= max_names_) return {};
  // Hash collision, about once in 4 billion pairs of names: the later name takes the next free number.
  ipfix::NameNumber number{static_cast<std::uint32_t>(XXH3_64bits(key.second.data(), key.second.size()))};
  while (number.value == 0 || by_number_.contains({kind, number})) ++number.value;
  by_number_.emplace(std::pair(kind, number), key.second);
  const auto inserted = entries_.emplace(std::move(key), Entry{number, now}).first;
  on_new_name(kind, number, inserted->first.second);
  return number;
}

void Names::each(const Visitor& visit) const {
  for (const auto& [key, held] : entries_) visit(key.first, held.number, key.second);
}

void Names::remove_unused(double now) {
  std::erase_if(entries_, [&](const auto& entry) {
    const bool old = entry.second.last_used_at + retention_s_ < now;
    if (old) by_number_.erase({entry.first.first, entry.second.number});
    return old;
  });
}

}  // namespace hareramp::flow
