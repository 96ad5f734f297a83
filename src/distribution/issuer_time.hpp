// How much time has passed at the issuers of purges, judged by their stamps alone. Pure.
//
// A stamp is never compared with this machine's clock, since either may have been stepped; stamps of the same
// stream are compared with each other. Of a backlog that spans an hour this tells which purges are long over,
// though all of them arrive at once.
#pragma once

#include "transport/scheduler.hpp"

namespace hareramp::distribution {

// The time at the issuers as far as their stamps prove it: never more than what really passed between two
// purges, as long as no clock is stepped forward by less than kLongestGap at a time. What a step could have
// caused does not count: a stamp behind the newest one adds nothing, a leap adds kLongestGap.
class IssuerTime {
 public:
  // Longest time between two purges that counts; a step of a clock by more than this counts no more either.
  static constexpr transport::Seconds kLongestGap = 0.25;

  // Takes the next purge's stamp in; seconds that are proven to have passed since the first purge.
  transport::Seconds take(double unix_ms);

 private:
  bool any_ = false;
  double newest_ms_ = 0;  // the newest stamp so far
  transport::Seconds passed_ = 0;
};

}  // namespace hareramp::distribution
