// What the decision module lets one of many directors send to a parent that has just started, where the quota
// is split evenly among all of them.
#pragma once

namespace hareramp::capacity {

struct ColdQuota {
  double attempts_each =
      0;                 // fills sent to the parent by one director in the time in which it could fall over
  double limit_all = 0;  // that it bears in that time from all directors together, as the settings have it
};
// One director of so many, with more requests than its part.
ColdQuota measure_cold_quota(int directors);

}  // namespace hareramp::capacity
