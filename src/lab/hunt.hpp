// Looks for the worst day: plays schedules of faults drawn by chance under a budget of days, keeps the worst,
// and takes faults out of it as long as it stays bad. Pure but for the days it plays; the same seed finds the
// same.
#pragma once

#include <functional>
#include <vector>

#include "lab/world/plan.hpp"

namespace hareramp::lab {

struct HuntSettings {
  std::size_t days = 200;  // the budget, shrinking included
  std::size_t faults = 6;  // in a schedule, at most
  std::uint64_t seed = 1;
  unsigned threads = 1;
  double slack = 0.1;  // of what the worst day lost: so much may come back while faults are taken out
};

// How bad a day was: broken rules above all, then utility lost. Higher is worse.
using Badness = std::function<double(const Plan& plan)>;

struct Hunted {
  std::vector<FaultPlan> faults;  // the shrunk schedule
  double badness = 0, calm = 0;   // with it, and without any fault
  std::size_t days = 0, faults_at_first = 0;
};

// A schedule by chance, within the plan's times and nodes.
std::vector<FaultPlan> draw_schedule(const Plan& plan, std::size_t faults, std::uint64_t seed);

Hunted hunt(const Plan& plan, const HuntSettings& settings, const Badness& badness);

}  // namespace hareramp::lab
