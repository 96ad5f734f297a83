// Clocks that a test can move: in a program that links this, CLOCK_REALTIME can be shifted and
// CLOCK_MONOTONIC stopped and advanced. Every other clock is unchanged.
#pragma once

#include "policy.hpp"

namespace hareramp {

void step_wall_clock(Seconds offset);  // relative to the system's time, not to the last step

// While it exists, CLOCK_MONOTONIC moves only by advance(). At most one at a time.
class StoppedClock {
 public:
  StoppedClock();
  ~StoppedClock();
  StoppedClock(const StoppedClock&) = delete;
  StoppedClock& operator=(const StoppedClock&) = delete;
  static void advance(Seconds by);
};

}  // namespace hareramp
