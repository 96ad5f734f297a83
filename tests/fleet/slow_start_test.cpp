// Slow start with real processes: a cache starts cold while twenty directors send to it, and a third of the
// directors is killed and restarted within the overload window. The stand-in for the cache counts what it
// receives.
#include <cmath>

#include "helpers.hpp"
#include "rig/fleet.hpp"

using namespace hareramp;

namespace {

// Same values as in the directors' configuration (experiments/rig/fleet.cpp).
constexpr double kStartShare = 0.05, kOverloadMultiple = 1;
constexpr Seconds kOverloadWindow = 3;

// Upper bound on the calls of all directors together in a window in which the cache bears `calls` calls.
double upper_bound(double calls) {
  return calls < 30 ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
}

void restart(rig::Fleet& fleet, int directors) {
  for (int director = 0; director < directors; ++director) fleet.kill(director);
  fleet.run_until(fleet.now() + 0.05);
  for (int director = 0; director < directors; ++director) fleet.start(director);
}

}  // namespace

TEST_CASE("slow start: twenty directors, a third restarted repeatedly within the overload window") {
  rig::FleetPlan plan;
  plan.program = HARERAMP_BINARY;
  // Each director may send about one call to the cold cache and has several requests a second for it.
  plan.directors = 20, plan.caches = 4, plan.rate = 500, plan.warmup_duration = 600;
  plan.cache_capacity = 200, plan.parent_capacity = plan.origin_capacity = 800;
  rig::Fleet fleet(plan);
  fleet.run_until(2);
  fleet.stop_node("c0");
  fleet.run_until(5);  // by then all directors have ejected it
  fleet.start_node("c0");
  const double started = fleet.now();
  // Only the first window is checked: on busy cores, late calls of one window would be counted in the next
  // one.
  for (int restarts = 0; restarts < 6; ++restarts) {
    fleet.run_until(started + 0.4 + 0.4 * restarts);
    restart(fleet, (plan.directors + 2) / 3);
  }
  fleet.run_until(started + kOverloadWindow);
  const double capacity_share = kStartShare + (1 - kStartShare) * kOverloadWindow / plan.warmup_duration;
  const double allowed =
      upper_bound(kOverloadMultiple * capacity_share * plan.cache_capacity * kOverloadWindow);
  const auto calls = fleet.history().attempts("c0", started, started + kOverloadWindow);
  CHECK(calls > 0);
  CHECK_MESSAGE(static_cast<double>(calls) <= allowed, calls << " calls of at most " << allowed);
  CHECK(fleet.crashes().empty());
}
