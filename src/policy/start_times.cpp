#include "policy/start_times.hpp"

#include <algorithm>

namespace hareramp::policy {

void StartTimes::list_starts(ListSource source, bool whole) {
  at_start_ = source == ListSource::kKnownBeforeStart || (whole && !has_whole_list_);
  has_whole_list_ = has_whole_list_ || whole;
}

Seconds StartTimes::started(Seconds now, const NodeId& node, Seconds stamp) {
  const auto known = entries_.find(node);
  const bool is_stamped = stamp > 0;
  if (known != entries_.end() && (!is_stamped || known->second.stamp == stamp)) return known->second.started;
  if (!is_stamped) {
    entries_[node] = {};
    return 0;
  }
  // Guards against clocks that differ: what is heard of while we run has just started, whatever its stamp
  // says. It hurts a node that has run for long and is listed anew: it gets little at first.
  const Seconds started = at_start_ ? std::min(stamp, now) : now;
  entries_[node] = {stamp, started};
  return started;
}

}  // namespace hareramp::policy
