#include "policy/cache_group.hpp"

#include <algorithm>
#include <cmath>

namespace hareramp {

namespace {

// A fleet of the usual size has at most 200 cache nodes; none of its zones is ever divided.
constexpr int kMaxUndividedCaches = 200;
// Smallest number of caches in a group. 200 caches in three to five zones make zones of 40 to 67 caches; 16
// times as many make 16 groups of that same size, also with a tenth of the caches unavailable.
constexpr int kMinGroupSize = 36;
constexpr int kMaxGroups = 64;  // 3,200 caches in one zone, the largest zone there is, make groups of 50
// Multiple of the director's demand that a group needs as capacity: the hash distributes work unevenly, and
// some of the caches may be unavailable.
constexpr double kHeadroom = 4.0;
constexpr double kHysteresis = 0.75;  // factor on the bounds for a division that is already in use
// Standard deviations: one group in some hundred has more directors.
constexpr double kDirectorDeviations = 3;

}  // namespace

int choose_group_count(const ZoneStatistics& zone, int current) {
  int best = 1;
  for (int groups = 2; groups <= kMaxGroups; groups *= 2) {
    const double bound_factor = groups <= current ? kHysteresis : 1.0;
    const bool many_caches = zone.caches > kMaxUndividedCaches * bound_factor &&
                             zone.caches >= kMinGroupSize * bound_factor * groups;
    // With so few requests, fewer connections stay open than a group has caches.
    const bool many_requests =
        !zone.traffic_is_known || zone.requests_per_idle_time > kMinGroupSize * bound_factor;
    // With fewer directors than groups, no director uses the caches of some groups.
    const double available = zone.capacity / std::max<double>(groups, zone.directors);
    const bool enough_capacity =
        groups <= zone.directors || available >= kHeadroom * bound_factor * zone.demand;
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
  return std::min(directors_of_zone, mean + kDirectorDeviations * std::sqrt(mean));
}

}  // namespace hareramp
