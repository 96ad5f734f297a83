#include "policy/cache_group.hpp"

#include <algorithm>
#include <cmath>

namespace hareramp {

namespace {

// A fleet of the usual size has 200 cache nodes at most; no zone of one is ever divided.
constexpr int kMaxUndividedCaches = 200;
// Caches of a group at least. 200 caches in three to five zones make zones of 40 to 67; 16 times those fall
// into 16 groups of that same size, also with a tenth of the caches away.
constexpr int kMinGroupSize = 36;
constexpr int kMaxGroups = 64;  // 3,200 caches in one zone, the most there are, make groups of 50
// x the director's demand: capacity that a group must have for it. The hash spreads work unevenly, and a part
// of the caches may be away.
constexpr double kHeadroom = 4.0;
constexpr double kHysteresis = 0.75;  // x: bounds for a division that stands already
constexpr double kDeviations = 3;     // standard deviations: one group in some hundred has more directors

}  // namespace

int choose_group_count(const ZoneStatistics& zone, int current) {
  int best = 1;
  for (int groups = 2; groups <= kMaxGroups; groups *= 2) {
    const double slack = groups <= current ? kHysteresis : 1.0;
    const bool many_caches =
        zone.caches > kMaxUndividedCaches * slack && zone.caches >= kMinGroupSize * slack * groups;
    // So few requests leave fewer connections open than a group has caches.
    const bool many_requests = !zone.traffic_is_known || zone.requests_per_idle_time > kMinGroupSize * slack;
    // With fewer directors than groups, the caches of some groups are used by nobody.
    const double available = zone.capacity / std::max<double>(groups, zone.directors);
    const bool enough_capacity = groups <= zone.directors || available >= kHeadroom * slack * zone.demand;
    if (many_caches && many_requests && enough_capacity) best = groups;
  }
  return best;
}

bool in_group(std::uint64_t cache_hash, std::uint64_t director_hash, int groups) {
  constexpr int kUpperHalf = 32;  // bits; the lower ones choose homes within the group
  const auto mask = static_cast<std::uint64_t>(groups) - 1;
  return (((cache_hash ^ director_hash) >> kUpperHalf) & mask) == 0;
}

double directors_of_group(double directors_of_zone, int groups) {
  if (groups <= 1) return directors_of_zone;
  const double mean = std::max(1.0, directors_of_zone / groups);
  return std::min(directors_of_zone, mean + kDeviations * std::sqrt(mean));
}

}  // namespace hareramp
