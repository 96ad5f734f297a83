#include "policy/part_usage.hpp"

#include <cmath>
#include <utility>

namespace hareramp::policy {

namespace {
// The largest share of all parts that may be repeated ones: the rest is for new names, of which some become
// popular.
constexpr double kMaxRepeatedShare = 0.75;
}  // namespace

PartUsage::Use PartUsage::record(Seconds now, std::uint64_t part_key, double size_kb) {
  const auto found = parts_.find(part_key);
  if (found == parts_.end()) {
    make_room();
    requested_once_.push_front({part_key, size_kb, now});
    parts_.emplace(part_key, requested_once_.begin());
    return {{}, size_kb};
  }
  const Parts::iterator part = found->second;
  const Seconds previous = part->last_request_at;
  part->recent_kb = part->recent_kb * std::exp((previous - now) / span_) + size_kb;
  part->last_request_at = now;
  Parts& source = list_of(*part);
  part->repeated = true;
  repeated_.splice(repeated_.begin(), source, part);
  if (static_cast<double>(repeated_.size()) > kMaxRepeatedShare * static_cast<double>(max_parts_))
    if (repeated_.size() > 1) forget_last(repeated_);
  return {previous, part->recent_kb};
}

void PartUsage::expire(Seconds before) {
  for (Parts* const parts : {&requested_once_, &repeated_})
    while (!parts->empty() && parts->back().last_request_at < before) forget_last(*parts);
}

void PartUsage::make_room() {
  while (parts_.size() >= max_parts_ && !parts_.empty())
    forget_last(requested_once_.empty() ? repeated_ : requested_once_);
}

void PartUsage::forget_last(Parts& parts) {
  parts_.erase(parts.back().key);
  parts.pop_back();
}

}  // namespace hareramp::policy
