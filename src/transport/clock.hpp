// The director's clock: monotonic seconds, offset by a fixed base so that at start they equal Unix time. Unix
// times received from other programs are used on this clock unchanged. A later step of the system's clock
// moves neither the timers that are running nor the times received.
#pragma once

#include <time.h>

#include "transport/scheduler.hpp"

namespace hareramp::transport {

class Clock {
 public:
  Clock() : base_(unix_now() - Scheduler::now()) {}
  Seconds now() const { return base_ + Scheduler::now(); }
  // Converts from and to the scheduler's time.
  Seconds from_scheduler(Seconds time) const { return base_ + time; }
  Seconds to_scheduler(Seconds time) const { return time - base_; }
  // The wall clock, which may step at any time: for timestamps in records, never for measuring durations.
  static Seconds unix_now() {
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<Seconds>(time.tv_sec) + static_cast<Seconds>(time.tv_nsec) * 1e-9;
  }

 private:
  Seconds base_;
};

}  // namespace hareramp::transport
