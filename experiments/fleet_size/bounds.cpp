#include "fleet_size/bounds.hpp"

namespace hareramp::fleet_size {

std::vector<Finding> compare_with_usual(const ResourceUse& usual, const ResourceUse& large, int nodes) {
  const double thousands = nodes / 1000.0;
  return {
      {"cpu_s", large.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.03 * thousands},
      {"peak_memory_mb", large.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8 + 4 * thousands},
      {"descriptors", large.descriptors, 2 * usual.descriptors + 40},
      {"connections", large.connections, 2.5 * usual.connections + 40},
      {"list_kb", large.list_kb, 2 * usual.list_kb + 64 + 500 * thousands},
      {"share_served", large.share_served, 0.85 * usual.share_served, false},
  };
}

}  // namespace hareramp::fleet_size
