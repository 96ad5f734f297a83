#include "distribution/issuer_time.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::distribution {

transport::Seconds IssuerTime::take(double unix_ms) {
  if (!std::exchange(any_, true)) newest_ms_ = unix_ms;
  if (unix_ms <= newest_ms_) return passed_;
  passed_ += std::min((unix_ms - newest_ms_) / 1000, kLongestGap);
  newest_ms_ = unix_ms;
  return passed_;
}

}  // namespace hareramp::distribution
