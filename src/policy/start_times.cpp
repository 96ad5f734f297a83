#include "policy/start_times.hpp"

#include <algorithm>

namespace hareramp::policy {

void StartTimes::list_starts(ListSource source, bool complete) {
  is_initial_list_ = source == ListSource::kKnownBeforeStart || (complete && !has_complete_list_);
  has_complete_list_ = has_complete_list_ || complete;
}

Seconds StartTimes::start_time(Seconds now, const NodeId& node, Seconds stamp) {
  const auto known = entries_.find(node);
  const bool is_stamped = stamp > 0;
  if (known != entries_.end() && (!is_stamped || known->second.stamp == stamp)) return known->second.started;
  if (!is_stamped) {
    entries_[node] = {};
    return 0;
  }
  // Guards against clocks that differ: a process that first appears while this director runs counts as just
  // started, whatever its stamp. The cost, for a node that has run for a long time and is listed again: it
  // receives little work at first.
  const Seconds started = is_initial_list_ ? std::min(stamp, now) : now;
  entries_[node] = {stamp, started};
  return started;
}

}  // namespace hareramp::policy
