// Processor time and memory of a process, read from /proc.
#pragma once

#include <sys/types.h>

namespace hareramp::capacity {

struct ProcessUsage {
  double processor_s = 0;  // user and system time of its main thread
  double resident_mb = 0;
  double peak_mb = 0;  // highest resident memory since the start or the last reset_peak
};
// All values are zero if the process does not exist.
ProcessUsage usage_of(pid_t process);
// Resets the peak of resident memory to the current value.
void reset_peak(pid_t process);

}  // namespace hareramp::capacity
