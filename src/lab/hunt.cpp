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
  std::mt19937_64 chance(seed);
  const auto whole = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(chance);
  };
  const auto real = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(chance);
  };
  std::vector<FaultPlan> all;
  const int count = whole(1, static_cast<int>(std::max<std::size_t>(1, faults)));
  for (int i = 0; i < count; ++i) {
    FaultPlan fault;
    fault.kind = kKinds[static_cast<std::size_t>(whole(0, static_cast<int>(kKinds.size()) - 1))];
    fault.at = real(plan.settles, plan.lasts * 0.7);
    fault.lasts = real(0.2, plan.lasts * 0.25);
    const int where = whole(0, 9);
    const bool origin = where == 0 && (fault.kind == "slow" || fault.kind == "refuse");
    const bool parent = where >= 6;
    fault.nodes = origin ? "origin" : parent ? "parent" : "cache";
    const int there = origin   ? 1
                      : parent ? plan.world.hubs * plan.world.parents
                               : plan.world.locations * plan.world.caches;
    fault.count = whole(1, std::max(1, there / 3));
    fault.first = whole(0, there - fault.count);
    fault.factor = real(1.5, fault.kind == "burst" ? 3 : 20);
    fault.rate = real(1, 30);
    if (fault.kind == "restart_directors") {
      const int directors = plan.world.locations * plan.world.directors;
      fault.count = whole(1, directors), fault.first = whole(0, directors - fault.count);
    }
    all.push_back(fault);
  }
  return all;
}

Hunted hunt(const Plan& plan, const HuntSettings& settings, const Badness& badness) {
  Hunted found;
  const auto with = [&](const std::vector<FaultPlan>& faults) {
    Plan played = plan;
    played.faults = faults;
    return played;
  };
  found.calm = badness(with({}));
  found.days = 1;
  // Two thirds of the budget look, the rest shrinks.
  const std::size_t looks = std::max<std::size_t>(1, settings.days * 2 / 3);
  std::vector<double> bad(looks);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < looks; i = next++)
      bad[i] = badness(with(draw_schedule(plan, settings.faults, settings.seed * 1000003 + i)));
  };
  {
    std::vector<std::jthread> pool;
    for (unsigned i = 0; i < std::max(1u, settings.threads); ++i) pool.emplace_back(work);
  }
  found.days += looks;
  const auto worst = static_cast<std::size_t>(std::max_element(bad.begin(), bad.end()) - bad.begin());
  found.faults = draw_schedule(plan, settings.faults, settings.seed * 1000003 + worst);
  found.faults_at_first = found.faults.size();
  found.badness = bad[worst];
  const double enough = found.badness - settings.slack * (found.badness - found.calm);
  for (std::size_t i = 0; i < found.faults.size() && found.faults.size() > 1 && found.days < settings.days;) {
    std::vector<FaultPlan> fewer = found.faults;
    fewer.erase(fewer.begin() + static_cast<long>(i));
    const double still = badness(with(fewer));
    ++found.days;
    if (still < enough) {
      ++i;
      continue;
    }
    found.faults = fewer;
    found.badness = still;
    i = 0;
  }
  return found;
}

}  // namespace hareramp::lab
