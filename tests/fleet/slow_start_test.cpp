// Slow start under real processes: a cache starts cold beside twenty directors, and a third of them are
// killed and started again within the span. The cache, a stand-in, counts what reaches it.
#include <cmath>

#include "helpers.hpp"
#include "rig/fleet.hpp"

using namespace hareramp;

namespace {

// As the rig configures its directors (experiments/rig/fleet.cpp).
constexpr double kStartShare = 0.05, kFallMultiple = 1;
constexpr Seconds kFallSpan = 3;

// What all directors together may send in a span that would bear `calls` calls.
double bound(double calls) {
  return calls < 30 ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
}

void restart(rig::Fleet& fleet, int directors) {
  for (int d = 0; d < directors; ++d) fleet.kill(d);
  fleet.play(fleet.now() + 0.05);
  for (int d = 0; d < directors; ++d) fleet.start(d);
}

}  // namespace

TEST_CASE("slow start: twenty directors, a third restarted again and again within the span") {
  rig::FleetPlan plan;
  plan.program = HARERAMP_BINARY;
  // A share of one call each at the cold cache, and several requests a second for it.
  plan.directors = 20, plan.caches = 4, plan.rate = 500, plan.cold_for = 600;
  plan.cache_pace = 200, plan.parent_pace = plan.origin_pace = 800;
  rig::Fleet fleet(plan);
  fleet.play(2);
  fleet.stop_node("c0");
  fleet.play(5);  // all directors have left it out
  fleet.start_node("c0");
  const double started = fleet.now();
  // The first span is the one in which a call that comes late on busy cores can't meet those of the next.
  for (int times = 0; times < 6; ++times) {
    fleet.play(started + 0.4 + 0.4 * times);
    restart(fleet, (plan.directors + 2) / 3);
  }
  fleet.play(started + kFallSpan);
  const double share = kStartShare + (1 - kStartShare) * kFallSpan / plan.cold_for;
  const double most = bound(kFallMultiple * share * plan.cache_pace * kFallSpan);
  const auto calls = fleet.history().attempts("c0", started, started + kFallSpan);
  CHECK(calls > 0);
  CHECK_MESSAGE(static_cast<double>(calls) <= most, calls << " calls of at most " << most);
  CHECK(fleet.crashes().empty());
}
