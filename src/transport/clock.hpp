// The director's own time: seconds that only go forward, near the Unix time of the start. Times told by
// others are Unix times; they are carried over by their distance from the system clock's now, so that a step
// of that clock moves nothing that is under way.
#pragma once

#include <time.h>

#include "transport/scheduler.hpp"

namespace hareramp::transport {

class Clock {
 public:
  Clock() : base_(unix_now() - Scheduler::now()) {}
  Seconds now() const { return base_ + Scheduler::now(); }
  // From and to the scheduler's time.
  Seconds of_scheduler(Seconds time) const { return base_ + time; }
  Seconds to_scheduler(Seconds time) const { return time - base_; }
  static Seconds unix_now() {
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<Seconds>(time.tv_sec) + static_cast<Seconds>(time.tv_nsec) * 1e-9;
  }

 private:
  Seconds base_;
};

}  // namespace hareramp::transport
