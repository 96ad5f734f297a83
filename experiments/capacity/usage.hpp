// What the system counts of a process: processor time and memory, read from /proc.
#pragma once

#include <sys/types.h>

namespace hareramp::capacity {

struct ProcessUsage {
  double processor_s = 0;  // user and system time of its main thread
  double resident_mb = 0;
  double peak_mb = 0;  // the most that was resident
};
// All zero once the process has gone.
ProcessUsage usage_of(pid_t process);
// Lets the peak be counted anew from now on.
void reset_peak(pid_t process);

}  // namespace hareramp::capacity
