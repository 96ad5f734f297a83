// Searches for the worst fault schedule: simulates random schedules within a budget of runs, keeps the one
// with the highest severity, and shrinks it by removing faults as long as the severity stays high. No side
// effects other than those of the severity function; the same seed finds the same schedule.
#pragma once

#include <functional>
#include <vector>

#include "lab/world/plan.hpp"

namespace hareramp::lab {

struct ScheduleSearchSettings {
  std::size_t runs = 200;  // budget of simulation runs, shrinking included
  std::size_t faults = 6;  // most faults in one schedule
  std::uint64_t seed = 1;
  unsigned threads = 1;
  // How much severity shrinking may give up, as a share of the difference between the worst schedule and no
  // faults.
  double shrink_tolerance = 0.1;
};

// Simulates a plan and returns its severity: broken rules count most, then lost utility. Higher is worse.
using SeverityFunction = std::function<double(const Plan& plan)>;

// The result of a search.
struct WorstSchedule {
  std::vector<FaultPlan> faults;                     // the schedule after shrinking
  double severity = 0, severity_without_faults = 0;  // with these faults, and with none
  std::size_t runs = 0, faults_before_shrinking = 0;
};

// Draws a random fault schedule within the plan's duration and nodes.
std::vector<FaultPlan> draw_schedule(const Plan& plan, std::size_t faults, std::uint64_t seed);

WorstSchedule find_worst_schedule(const Plan& plan, const ScheduleSearchSettings& settings,
                                  const SeverityFunction& severity);

}  // namespace hareramp::lab
