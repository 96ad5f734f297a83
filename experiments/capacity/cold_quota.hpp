// How many requests the decision module lets one of many directors send to a parent that has just started, if
// the parent's quota is split evenly among all directors.
#pragma once

namespace hareramp::capacity {

struct ColdQuota {
  // Fills that one director sends to the parent within the interval in which an overload makes it fail.
  double attempts_each = 0;
  // Fills that the parent can serve in that interval for all directors together, according to the settings.
  double limit_all = 0;
};
// Measures one of the given number of directors, offered more requests than its share of the quota.
ColdQuota measure_cold_quota(int directors);

}  // namespace hareramp::capacity
