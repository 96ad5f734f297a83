#include "lab/hunt.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <random>
#include <thread>

namespace hareramp::lab {

std::vector<FaultPlan> draw_schedule(const Plan& plan, std::size_t faults, std::uint64_t seed) {
  constexpr std::array<const char*, 11> kKinds = {
      "crash",       "silent", "slow",  "refuse",           "drain", "list_lag", "purge_object",
      "purge_group", "burst",  "flush", "restart_directors"};
  std::mt19937_64 rng(seed);
  const auto random_integer = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(rng);
  };
  const auto random_real = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(rng);
  };
  std::vector<FaultPlan> all;
  const int count = random_integer(1, static_cast<int>(std::max<std::size_t>(1, faults)));
  for (int i = 0; i < count; ++i) {
    FaultPlan fault;
    fault.kind = kKinds[static_cast<std::size_t>(random_integer(0, static_cast<int>(kKinds.size()) - 1))];
    fault.at = random_real(plan.uncounted_start, plan.duration * 0.7);
    fault.duration = random_real(0.2, plan.duration * 0.25);
    const int placement = random_integer(0, 9);
    const bool origin = placement == 0 && (fault.kind == "slow" || fault.kind == "refuse");
    const bool parent = placement >= 6;
    fault.nodes = origin ? "origin" : parent ? "parent" : "cache";
    const int node_count = origin   ? 1
                           : parent ? plan.world.hubs * plan.world.parents
                                    : plan.world.locations * plan.world.caches;
    fault.count = random_integer(1, std::max(1, node_count / 3));
    fault.first = random_integer(0, node_count - fault.count);
    fault.factor = random_real(1.5, fault.kind == "burst" ? 3 : 20);
    fault.rate = random_real(1, 30);
    if (fault.kind == "restart_directors") {
      const int directors = plan.world.locations * plan.world.directors;
      fault.count = random_integer(1, directors), fault.first = random_integer(0, directors - fault.count);
    }
    all.push_back(fault);
  }
  return all;
}

WorstSchedule find_worst_schedule(const Plan& plan, const ScheduleSearchSettings& settings,
                                  const SeverityFunction& severity) {
  WorstSchedule worst_schedule;
  const auto with_faults = [&](const std::vector<FaultPlan>& faults) {
    Plan variant = plan;
    variant.faults = faults;
    return variant;
  };
  worst_schedule.severity_without_faults = severity(with_faults({}));
  worst_schedule.runs = 1;
  // Two thirds of the budget go to the search, the rest to shrinking.
  const std::size_t search_runs = std::max<std::size_t>(1, settings.runs * 2 / 3);
  std::vector<double> severities(search_runs);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < search_runs; i = next++)
      severities[i] =
          severity(with_faults(draw_schedule(plan, settings.faults, settings.seed * 1000003 + i)));
  };
  {
    std::vector<std::jthread> pool;
    for (unsigned i = 0; i < std::max(1u, settings.threads); ++i) pool.emplace_back(work);
  }
  worst_schedule.runs += search_runs;
  const auto worst_index =
      static_cast<std::size_t>(std::max_element(severities.begin(), severities.end()) - severities.begin());
  worst_schedule.faults = draw_schedule(plan, settings.faults, settings.seed * 1000003 + worst_index);
  worst_schedule.faults_before_shrinking = worst_schedule.faults.size();
  worst_schedule.severity = severities[worst_index];
  const double severity_kept =
      worst_schedule.severity -
      settings.shrink_tolerance * (worst_schedule.severity - worst_schedule.severity_without_faults);
  for (std::size_t i = 0; i < worst_schedule.faults.size() && worst_schedule.faults.size() > 1 &&
                          worst_schedule.runs < settings.runs;) {
    std::vector<FaultPlan> fewer = worst_schedule.faults;
    fewer.erase(fewer.begin() + static_cast<long>(i));
    const double severity_with_fewer = severity(with_faults(fewer));
    ++worst_schedule.runs;
    if (severity_with_fewer < severity_kept) {
      ++i;
      continue;
    }
    worst_schedule.faults = fewer;
    worst_schedule.severity = severity_with_fewer;
    i = 0;
  }
  return worst_schedule;
}

}  // namespace hareramp::lab
