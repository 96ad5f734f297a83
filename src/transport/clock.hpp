// The director's own time: seconds that only go forward, near Unix time by a base that is fixed at the start.
// A Unix time told by others is a time on this clock as it stands, so that a later step of the system's clock
// moves neither what is under way nor what is told.
#pragma once

#include <time.h>

#include "transport/scheduler.hpp"

namespace hareramp::transport {

class Clock {
 public:
  Clock() : base_(unix_now() - Scheduler::now()) {}
  Seconds now() const { return base_ + Scheduler::now(); }
  // From and to the scheduler's time.
  Seconds from_scheduler(Seconds time) const { return base_ + time; }
  Seconds to_scheduler(Seconds time) const { return time - base_; }
  // The wall clock, which may step at any time: for stamps in records, never for a span.
  static Seconds unix_now() {
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<Seconds>(time.tv_sec) + static_cast<Seconds>(time.tv_nsec) * 1e-9;
  }

 private:
  Seconds base_;
};

}  // namespace hareramp::transport
