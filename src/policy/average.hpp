// A weighted mean in which older values decay exponentially.
#pragma once

#include <cmath>

#include "policy.hpp"

namespace hareramp::policy {

// Time constant of the averages of rates and shares, in seconds.
constexpr Seconds kAverageSpan = 10.0;

// `weight` reflects recent samples.
struct Average {
  double sum = 0, weight = 0;
  Seconds updated_at = 0;
  void add(Seconds now, double value, double added_weight) {
    const double fade = std::exp((updated_at - now) / kAverageSpan);
    sum = sum * fade + value;
    weight = weight * fade + added_weight;
    updated_at = now;
  }
  bool has_data() const { return weight > 0; }
  double mean() const { return sum / weight; }
  double sum_per_second(Seconds now) const {
    return sum * std::exp((updated_at - now) / kAverageSpan) / kAverageSpan;
  }
  double weight_per_second(Seconds now) const {
    return weight * std::exp((updated_at - now) / kAverageSpan) / kAverageSpan;
  }
};

}  // namespace hareramp::policy
