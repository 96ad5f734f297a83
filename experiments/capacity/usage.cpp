#include "capacity/usage.hpp"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>

namespace hareramp::capacity {

namespace {
constexpr double kKbPerMb = 1024;
}  // namespace

ProcessUsage usage_of(pid_t process) {
  ProcessUsage usage;
  std::ifstream status(fmt::format("/proc/{}/status", process));
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    double kb = 0;
    fields >> name >> kb;
    if (name == "VmRSS:") usage.resident_mb = kb / kKbPerMb;
    if (name == "VmHWM:") usage.peak_mb = kb / kKbPerMb;
  }
  // Processor time of the main thread in nanoseconds: the measured processes have a single thread.
  std::ifstream schedstat(fmt::format("/proc/{}/schedstat", process));
  double nanoseconds = 0;
  schedstat >> nanoseconds;
  usage.processor_s = nanoseconds * 1e-9;
  return usage;
}

void reset_peak(pid_t process) { std::ofstream(fmt::format("/proc/{}/clear_refs", process)) << "5"; }

}  // namespace hareramp::capacity
