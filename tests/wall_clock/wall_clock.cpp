#include "wall_clock/wall_clock.hpp"

#include <dlfcn.h>
#include <time.h>

#include <atomic>

namespace {

constexpr long kNanosecondsPerSecond = 1'000'000'000;

std::atomic<long> offset_in_s = 0;
std::atomic<long> stopped_at_ns = 0;  // 0: CLOCK_MONOTONIC runs

long monotonic_ns() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * kNanosecondsPerSecond + time.tv_nsec;
}

}  // namespace

namespace hareramp {

void step_wall_clock(Seconds offset) { offset_in_s = static_cast<long>(offset); }

StoppedClock::StoppedClock() { stopped_at_ns = monotonic_ns(); }
StoppedClock::~StoppedClock() { stopped_at_ns = 0; }
// Rounded up, so that a caller that advances by what is left to a moment reaches it.
void StoppedClock::advance(Seconds by) { stopped_at_ns += static_cast<long>(by * kNanosecondsPerSecond) + 1; }

}  // namespace hareramp

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using ClockFunction = int (*)(clockid_t, timespec*);
  static const ClockFunction kRealFunction =
      reinterpret_cast<ClockFunction>(dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kRealFunction(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) time->tv_sec += offset_in_s;
  if (const long stopped = stopped_at_ns; result == 0 && clock == CLOCK_MONOTONIC && stopped > 0) {
    time->tv_sec = stopped / kNanosecondsPerSecond;
    time->tv_nsec = stopped % kNanosecondsPerSecond;
  }
  return result;
}
