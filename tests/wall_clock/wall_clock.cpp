#include "wall_clock/wall_clock.hpp"

#include <dlfcn.h>
#include <time.h>

#include <atomic>

namespace {
std::atomic<long> offset_in_s = 0;
}

namespace hareramp {
void step_wall_clock(Seconds offset) { offset_in_s = static_cast<long>(offset); }
}  // namespace hareramp

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using ClockFunction = int (*)(clockid_t, timespec*);
  static const ClockFunction kRealFunction =
      reinterpret_cast<ClockFunction>(dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kRealFunction(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) time->tv_sec += offset_in_s;
  return result;
}
